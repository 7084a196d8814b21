package spreader

import (
	"fmt"
	"testing"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// fullDocument returns a configuration of 130 services with a route each.
func fullDocument() *versioner.Document {
	entries := []versioner.Entry{{Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: new(versioner.Partner)}}
	for i := range 130 {
		name := fmt.Sprintf("service-%03d", i)
		entries = append(entries,
			versioner.Entry{Key: versioner.Key{Kind: versioner.KindService, Name: name}, Service: &versioner.Service{Partner: "magnolia", Slots: 12, Connections: 130}},
			versioner.Entry{Key: versioner.Key{Kind: versioner.KindRoute, Name: name}, Route: &versioner.Route{Partner: "magnolia", PathPrefix: "/" + name, Service: name, Class: versioner.ClassLookup}},
		)
	}
	return new(versioner.Document).With(entries, nil)
}

func BenchmarkSnapshotOf130Services(b *testing.B) {
	doc := fullDocument()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := applier.Build(doc, "mobile-bay"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDeltaOnto130Services(b *testing.B) {
	doc := fullDocument()
	digest, _ := doc.Digest()
	upserts := []versioner.Entry{{Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: &versioner.Partner{SharePercent: 40}}}
	to, _ := doc.With(upserts, nil).Digest()
	delta := versioner.Delta{From: 1, To: 2, FromDigest: digest, ToDigest: to, Upserts: upserts}
	base := digestedDoc{doc: doc, digest: digest}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := base.applyDeltas([]versioner.Delta{delta}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMessageSizes reports the encoded message sizes from which the byte
// budget is computed.
func BenchmarkMessageSizes(b *testing.B) {
	digest := versioner.Digest{1, 2, 3}
	tally := &messenger.Tally{Counts: []messenger.VersionCount{{Version: 8300, Daemons: 272}}}
	position := messenger.Position{Version: 8300, Digest: digest}
	var records []tracker.Record
	for i := range 272 {
		records = append(records, tracker.Record{
			InstanceID: fmt.Sprintf("i-%08x", uint32(i)*2_654_435_761), Incarnation: 1796359751266829000 + uint64(i)*7_919_123_456,
			Sequence: uint64(i % 7), Service: fmt.Sprintf("service-%03d", i*37%130), Domain: "mobile-bay",
			PeerAddress: fmt.Sprintf("10.17.%d.%d:7101", i%7, i*31%251), State: tracker.StateReady,
		})
	}
	for b.Loop() {
		_ = position
	}
	confirm := &messenger.Confirmation{Version: 8300, AgeMS: 3500}
	for _, tt := range []struct {
		unit string
		m    messenger.Message
	}{
		{"heartbeat-B", &messenger.Heartbeat{Sequence: 70_000, Position: position, MembersDigest: 1 << 60, Subtree: tally}},
		{"answer-B", &messenger.HeartbeatAnswer{Sequence: 70_000, Position: position, MembersDigest: 1 << 60, Confirm: confirm, Fleet: tally}},
		{"domain-B", &messenger.Members{Records: records}},
		{"state-B", &messenger.State{Document: *fullDocument(), Digest: digest}},
	} {
		encoded, err := messenger.Encode(tt.m)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(encoded)), tt.unit)
	}
}

package versioner_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/versioner"
)

// sampleDocument returns a document with an entry of each kind.
func sampleDocument() *versioner.Document {
	n, yes := 7, true
	key := func(kind versioner.Kind, name string) versioner.Key { return versioner.Key{Kind: kind, Name: name} }
	return new(versioner.Document).With([]versioner.Entry{
		{Key: key(versioner.KindFleet, versioner.FleetName), Fleet: &versioner.Fleet{EjectMS: &n}},
		{Key: key(versioner.KindPartner, "magnolia"), Partner: &versioner.Partner{SharePercent: 50, TokenSHA256: "ab"}},
		{Key: key(versioner.KindClass, versioner.ClassLookup), Class: &versioner.Class{Idempotent: &yes, TimeoutMS: &n}},
		{Key: key(versioner.KindService, "ledger-view"), Service: &versioner.Service{Partner: "magnolia", Slots: 12}},
		{Key: key(versioner.KindRoute, "shares"), Route: &versioner.Route{Partner: "magnolia", Hosts: []string{"a"}, PathPrefix: "/", Methods: []string{"GET"}, Service: "ledger-view", Class: "lookup", TimeoutMS: 5}},
		{Key: key(versioner.KindTenant, "north"), Tenant: &versioner.Tenant{KeySHA256: []string{versioner.HashKey("k")}, Priority: new(int), RatePerS: 0.1, Burst: 40}},
		{Key: key(versioner.KindException, "slow"), Exception: &versioner.Exception{
			Service: "ledger-view", Setting: "eject-ms", Value: 500, Reason: "r", Author: "ada",
			At: versioner.TimestampOf(time.Date(2026, 3, 1, 12, 0, 0, 123_456_789, time.FixedZone("x", 3600))),
		}},
	}, nil)
}

// A document must keep its digest when it is stored in the canonical encoding,
// and when it is sent between daemons in the encoding of package messenger.
// Times that the codecs encode differently would change it.
func TestDocumentRoundTrip(t *testing.T) {
	doc := sampleDocument()
	want, err := doc.Digest()
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name   string
		encode func(any) ([]byte, error)
	}{
		{"canonical", versioner.Marshal},
		{"messenger", cbor.Marshal},
	} {
		b, err := tt.encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := versioner.DecodeDocument(b)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if got, _ := again.Digest(); got != want {
			t.Errorf("%s: digest: got %s, want %s", tt.name, got, want)
		}
	}
}

// Apply must reject a delta whose result has another digest, and one that starts
// at another version.
func TestApplyChecksDigestAndVersion(t *testing.T) {
	doc := sampleDocument()
	next := doc.With(nil, []versioner.Key{{Kind: versioner.KindException, Name: "slow"}})
	digest, _ := next.Digest()
	delta := versioner.Delta{From: 1, To: 2, ToDigest: digest, Deletes: []versioner.Key{{Kind: versioner.KindException, Name: "slow"}}}
	if _, err := doc.Apply(delta); err != nil {
		t.Errorf("applying: %v", err)
	}
	delta.ToDigest[0]++
	var mismatch *versioner.DigestMismatchError
	if _, err := doc.Apply(delta); !errors.As(err, &mismatch) {
		t.Errorf("wrong digest: got %v, want a *DigestMismatchError", err)
	}
	var gap *versioner.VersionGapError
	if _, err := next.Apply(delta); !errors.As(err, &gap) {
		t.Errorf("wrong version: got %v, want a *VersionGapError", err)
	}
}

// A document that DecodeDocument accepts must keep its digest after another
// round trip.
func FuzzDecodeDocument(f *testing.F) {
	b, err := versioner.Marshal(sampleDocument())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Add([]byte{0xa0})
	f.Add([]byte("\x9f\x9f\x9f\x9f"))
	f.Fuzz(func(t *testing.T, b []byte) {
		doc, err := versioner.DecodeDocument(b)
		if err != nil {
			return
		}
		want, err := doc.Digest()
		if err != nil {
			t.Fatal(err)
		}
		again, err := versioner.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if doc, err = versioner.DecodeDocument(again); err != nil {
			t.Fatalf("decoding the encoded document: %v", err)
		}
		if got, _ := doc.Digest(); got != want {
			t.Errorf("digest after a round trip: got %s, want %s", got, want)
		}
	})
}

// The delta between any two external documents must lead from one to the other.
// Without IsExternal a delta over more than one version must be rejected.
func TestExternalDelta(t *testing.T) {
	draw := func(t *rapid.T, version versioner.Version, label string) *versioner.Document {
		doc := &versioner.Document{Version: version, Entries: []versioner.Entry{}}
		for n, share := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 8).Draw(t, label) {
			if share > 0 {
				doc.Entries = append(doc.Entries, versioner.Entry{
					Key: versioner.Key{Kind: versioner.KindPartner, Name: fmt.Sprint("p", n)}, Partner: &versioner.Partner{SharePercent: share},
				})
			}
		}
		return doc
	}
	rapid.Check(t, func(t *rapid.T) {
		from := draw(t, 3, "from")
		to := draw(t, versioner.Version(rapid.Uint64Range(4, 9).Draw(t, "version")), "to")
		delta := from.ExternalDelta(to)
		var err error
		if delta.FromDigest, err = from.Digest(); err != nil {
			t.Fatal(err)
		}
		if delta.ToDigest, err = to.Digest(); err != nil {
			t.Fatal(err)
		}
		if _, err := from.Apply(delta); err != nil {
			t.Errorf("applying the delta: %v", err)
		}
		var gap *versioner.VersionGapError
		delta.IsExternal = false
		if _, err := from.Apply(delta); to.Version > 4 && !errors.As(err, &gap) {
			t.Errorf("version jump without IsExternal: got %v, want a *VersionGapError", err)
		}
	})
}

// TestLargestDocumentIsDecoded guards against a version that is accepted and that no daemon
// can read: the decoder bounds the number of entries, as the validator does.
func TestLargestDocumentIsDecoded(t *testing.T) {
	const most = 10_000 + 120_000 // the validator's bounds
	doc := &versioner.Document{Version: 1}
	for i := range most {
		doc.Entries = append(doc.Entries, versioner.Entry{Key: versioner.Key{Kind: versioner.KindTenant, Name: fmt.Sprintf("t%06d", i)}, Tenant: new(versioner.Tenant)})
	}
	b, err := versioner.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := versioner.DecodeDocument(b); err != nil || len(got.Entries) != most {
		t.Errorf("got error %v, want %d entries", err, most)
	}
}

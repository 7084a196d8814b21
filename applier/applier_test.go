package applier

import (
	"errors"
	"testing"

	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// document returns a document with one partner.
func document(v versioner.Version, share int) *versioner.Document {
	key := versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}
	return &versioner.Document{Version: v, Entries: []versioner.Entry{
		{Key: key, Revision: v, Partner: &versioner.Partner{SharePercent: share}},
	}}
}

// TestOfferKeepsWhatIsInForce guards against a refused document that replaces the
// snapshot in force.
func TestOfferKeepsWhatIsInForce(t *testing.T) {
	bad := document(6, 50)
	bad.Entries = append(bad.Entries, versioner.Entry{
		Key:   versioner.Key{Kind: versioner.KindRoute, Name: "shares"},
		Route: &versioner.Route{Partner: "magnolia", PathPrefix: "/", Service: "missing", Class: versioner.ClassLookup},
	})
	tests := []struct {
		name string
		doc  *versioner.Document
		want any
	}{
		{"older", document(4, 50), new(*OlderVersionError)},
		{"same version, other content", document(5, 51), new(*ForkedVersionError)},
		{"dangling reference", bad, new(*validator.InvalidError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a Applier
			if applied, err := a.Offer(document(5, 50)); !applied || err != nil {
				t.Fatalf("offer 5: got %v %v, want true and no error", applied, err)
			}
			before := a.Current()
			if _, err := a.Offer(tt.doc); !errors.As(err, tt.want) {
				t.Errorf("offer: got %v, want %T", err, tt.want)
			}
			if got := a.Current(); got != before {
				t.Errorf("in force: got another snapshot, of version %d, want the one before the offer", got.Version())
			}
		})
	}
}

// TestOfferOfTheSameContentIsNoError guards against reporting a repeated offer of
// the version in force as a fork.
func TestOfferOfTheSameContentIsNoError(t *testing.T) {
	var a Applier
	for _, want := range []bool{true, false} {
		if got, err := a.Offer(document(5, 50)); got != want || err != nil {
			t.Errorf("offer: got %v %v, want %v and no error", got, err, want)
		}
	}
}

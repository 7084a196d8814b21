package applier

import (
	"errors"
	"testing"

	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

func document(v versioner.Version, share int) *versioner.Document {
	key := versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}
	return &versioner.Document{Version: v, Entries: []versioner.Entry{
		{Key: key, Revision: v, Partner: &versioner.Partner{SharePercent: share}},
	}}
}

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
				t.Fatalf("offer 5: got %v %v, want it in force", applied, err)
			}
			before := a.Current()
			if _, err := a.Offer(tt.doc); !errors.As(err, tt.want) {
				t.Errorf("offer: got %v, want %T", err, tt.want)
			}
			if got := a.Current(); got != before {
				t.Errorf("in force: got version %d, want the snapshot untouched", got.Version())
			}
		})
	}
}

func TestOfferOfTheSameContentIsNoError(t *testing.T) {
	var a Applier
	for _, want := range []bool{true, false} {
		if got, err := a.Offer(document(5, 50)); got != want || err != nil {
			t.Errorf("offer: got %v %v, want %v", got, err, want)
		}
	}
}

package parser

import (
	"testing"

	"bambooweir.example/bambooweir/versioner"
)

// A route with a split that show writes as TOML must be readable again.
func TestSplitSurvivesFormatAndParse(t *testing.T) {
	route := versioner.Route{Partner: "magnolia", PathPrefix: "/a", Class: "lookup", Split: []versioner.Part{{Service: "x", Weight: 1}, {Service: "y", Weight: 3}}}
	doc := (&versioner.Document{Version: 3}).With([]versioner.Entry{{Key: versioner.Key{Kind: versioner.KindRoute, Name: "r"}, Route: &route}}, nil)
	b, err := Format(doc)
	if err != nil {
		t.Fatal(err)
	}
	edits, err := Parse("x.toml", b)
	if err != nil {
		t.Fatalf("parsing\n%s\ngot %v, want no error", b, err)
	}
	got := edits.Upserts[0].Route
	if len(got.Split) != 2 || got.Split[1] != route.Split[1] {
		t.Errorf("split: got %+v, want %+v", got.Split, route.Split)
	}
}

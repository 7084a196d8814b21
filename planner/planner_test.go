package planner_test

import (
	"fmt"
	"strings"
	"testing"

	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/planner"
	"bambooweir.example/bambooweir/versioner"
)

const base = `
[partner.magnolia]
[partner.regie]
[service.ledger-view]
partner = "magnolia"
[service.catalogue]
partner = "regie"
[route.shares]
partner = "magnolia"
path-prefix = "/shares"
service = "ledger-view"
class = "lookup"
[route.stock]
partner = "magnolia"
path-prefix = "/stock"
service = "catalogue"
class = "lookup"
[exception.slow]
service = "catalogue"
setting = "eject-ms"
value = 500
reason = "slow"
`

// with returns the document with the edits of a configuration file.
func with(t *testing.T, doc *versioner.Document, file string) *versioner.Document {
	t.Helper()
	edits, err := parser.Parse("test.toml", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	return doc.With(edits.Upserts, edits.Deletes)
}

// summary returns the edits of a plan and the impacts on each partner, one a line.
func summary(p *planner.Plan) string {
	var lines []string
	for _, e := range p.Edits {
		lines = append(lines, fmt.Sprintf("%s %s", e.Action, e.Key))
	}
	for _, i := range p.Partners {
		line := fmt.Sprint(i.Partner, i.Services, i.Routes)
		for _, s := range i.Settings {
			line += fmt.Sprintf(" %s%v:%d->%d", s.Setting, s.Scope, s.From, s.To)
		}
		for _, x := range i.Exceptions {
			line += fmt.Sprintf(" %s=%d default %d", x.Name, x.Exception.Value, x.Default)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

func TestMake(t *testing.T) {
	for _, tt := range []struct{ name, edit, want string }{
		{"no edit", "", ""},
		{"service that another partner's routes use", "[service.catalogue]\npartner = \"regie\"\nslots = 16",
			"update service.catalogue\nmagnolia[] [stock]\nregie[catalogue] []"},
		{"deleted route to another partner's service", "delete = [\"route.stock\"]",
			"delete route.stock\nmagnolia[] [stock]\nregie[catalogue] [stock]"},
		{"split that leads to another partner's service", "[route.shares]\npartner = \"magnolia\"\npath-prefix = \"/shares\"\nclass = \"lookup\"\nsplit = [{ service = \"ledger-view\", weight = 9 }, { service = \"catalogue\", weight = 1 }]",
			"update route.shares\nmagnolia[] [shares]\nregie[catalogue] [shares]"},
		{"default that an exception overrides", "[fleet]\neject-ms = 7000",
			"create fleet.defaults\nmagnolia[] [] eject-ms{  }:5000->7000\nregie[] [] eject-ms{  }:5000->7000 slow=500 default 7000"},
		{"exception", "[exception.slow]\nservice = \"catalogue\"\nsetting = \"eject-ms\"\nvalue = 600\nreason = \"slow\"",
			"update exception.slow\nregie[] [] eject-ms{ catalogue }:500->600 slow=600 default 5000"},
		{"exception removed", "delete = [\"exception.slow\"]",
			"delete exception.slow\nregie[] [] eject-ms{ catalogue }:500->5000"},
		{"same values", "[service.catalogue]\npartner = \"regie\"", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			from := with(t, new(versioner.Document), base)
			if got := summary(planner.Make(from, with(t, from, tt.edit))); got != tt.want {
				t.Errorf("got:\n%s\nwant:\n%s", got, tt.want)
			}
		})
	}
}

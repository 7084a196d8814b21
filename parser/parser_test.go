package parser_test

import (
	"errors"
	"strings"
	"testing"

	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/versioner"
)

const complete = `base-version = 7
delete = ["route.old"]

[fleet]
eject-ms = 400
max-ejected-percent = 0

[partner.magnolia]
share-percent = 50

[partner.guest]

[class.lookup]
idempotent = false
max-retries = 0

[service.ledger-view]
partner = "magnolia"
slots = 12

[route.shares]
partner = "magnolia"
hosts = ["shares.example"]
path-prefix = "/shares"
methods = ["GET"]
service = "ledger-view"
class = "lookup"
timeout-ms = 900

[route.menu]
partner = "magnolia"
path-prefix = "/menu"
service = "ledger-view"
class = "lookup"
public = true

[tenant.north]
key-sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"]
priority = 0
rate-per-s = 12.5
burst = 40.0

[tenant.south]

[exception.slow]
service = "ledger-view"
setting = "lookup.hedge-ms"
value = 0
reason = "old \"disks\""
`

func TestParseReportsEveryProblem(t *testing.T) {
	const broken = `delete = ["shares", "route.b"]
fleeet = 1
[fleet]
eject-ms = "5s"
drain-ms = 1
[service.Ledger]
partner = 7
[route.b]
path-prefix = "/b"
classs = "lookup"
[route.c]
path-prefix = "c"
class = "lookups"
partner = "magnolia"
service = "x"
[exception.d]
service = "x"
setting = "eject-ms"
[tenant.e]
key-sha256 = ["AB"]
priority = "high"
rate-per-s = 1000000001
`
	for _, tt := range []struct {
		name, in string
		want     []string
	}{
		{"keys, types and values", broken, []string{
			`f.toml:1:1: delete: must name entries as kind.name, got "shares"`,
			`f.toml:1:1: delete: names route.b, which the file also sets`,
			`f.toml:2:1: fleeet: unknown key, did you mean "fleet"?`,
			`f.toml:4:1: fleet.eject-ms: must be a whole number, got the string "5s"`,
			`f.toml:5:1: fleet.drain-ms: must be from 100 to 3600000, got 1`,
			`f.toml:6:10: service.Ledger.name: must be kebab-case of at most 63 characters, got "Ledger"`,
			`f.toml:7:1: service.Ledger.partner: must be a string, got the number 7`,
			`f.toml:8:8: route.b.class: must be one of lookup, posting, scan, internal-read, got ""`,
			`f.toml:8:8: route.b.partner: is required`,
			`f.toml:8:8: route.b.service: is required`,
			`f.toml:10:1: route.b.classs: unknown key, did you mean "class"?`,
			`f.toml:12:1: route.c.path-prefix: must start with /, got "c"`,
			`f.toml:13:1: route.c.class: must be one of lookup, posting, scan, internal-read, got "lookups"`,
			`f.toml:16:12: exception.d.reason: is required`,
			`f.toml:16:12: exception.d.value: is required`,
			`f.toml:20:1: tenant.e.key-sha256: must be 64 lower-case hexadecimal digits each`,
			`f.toml:21:1: tenant.e.priority: must be a whole number, got the string "high"`,
			`f.toml:22:1: tenant.e.rate-per-s: must be from 0 to 1000000000, got 1.000000001e+09`,
		}},
		{"values", strings.NewReplacer("fleeet = 1", "", `"5s"`, "5", "= 7", `= "m"`, "classs =", "class =").Replace(broken), []string{
			`f.toml:1:1: delete: must name entries as kind.name, got "shares"`,
			`f.toml:1:1: delete: names route.b, which the file also sets`,
			`f.toml:4:1: fleet.eject-ms: must be from 100 to 3600000, got 5`,
			`f.toml:5:1: fleet.drain-ms: must be from 100 to 3600000, got 1`,
			`f.toml:6:10: service.Ledger.name: must be kebab-case of at most 63 characters, got "Ledger"`,
			`f.toml:8:8: route.b.partner: is required`,
			`f.toml:8:8: route.b.service: is required`,
			`f.toml:12:1: route.c.path-prefix: must start with /, got "c"`,
			`f.toml:13:1: route.c.class: must be one of lookup, posting, scan, internal-read, got "lookups"`,
			`f.toml:16:12: exception.d.reason: is required`,
			`f.toml:16:12: exception.d.value: is required`,
			`f.toml:20:1: tenant.e.key-sha256: must be 64 lower-case hexadecimal digits each`,
			`f.toml:21:1: tenant.e.priority: must be a whole number, got the string "high"`,
			`f.toml:22:1: tenant.e.rate-per-s: must be from 0 to 1000000000, got 1.000000001e+09`,
		}},
		{"syntax", "[fleet]\neject-ms = = 1", []string{"f.toml:2:12: "}},
		{"key twice", "[fleet]\neject-ms = 1\neject-ms = 1", []string{"f.toml:3:1: "}},
		{"table expected", "service = 1", []string{"f.toml:1:1: service: must be a table, got the number 1"}},
		{"list expected", "delete = 1.5", []string{"f.toml:1:1: delete: must be a list, got the number 1.5"}},
		{"inline table", "fleet = {drain-ms = true}", []string{"f.toml:1:10: fleet.drain-ms: must be a whole number, got true"}},
		{"too large", strings.Repeat("#", decoder.MaxFileBytes+1), []string{"f.toml:1:1: must be at most 1048576 bytes"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parser.Parse("f.toml", []byte(tt.in))
			var invalid *decoder.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want an *InvalidError", err)
			}
			got := strings.Split(err.Error(), "\n")
			if len(got) != len(tt.want) {
				t.Fatalf("got %d problems, want %d:\n%s", len(got), len(tt.want), err)
			}
			for i, want := range tt.want {
				if !strings.HasPrefix(got[i], want) {
					t.Errorf("problem %d: got %s, want %s", i, got[i], want)
				}
			}
		})
	}
}

// TestFormatRoundTrip checks that Parse reads the same entries and base version from
// a formatted document.
func TestFormatRoundTrip(t *testing.T) {
	edits, err := parser.Parse("f.toml", []byte(complete))
	if err != nil {
		t.Fatal(err)
	}
	doc := new(versioner.Document).With(edits.Upserts, nil)
	b, err := parser.Format(doc)
	if err != nil {
		t.Fatal(err)
	}
	reparsed, err := parser.Parse("f.toml", b)
	if err != nil {
		t.Fatalf("parsing the formatted document: %v\n%s", err, b)
	}
	if got, want := reparsed.BaseVersion, doc.Version; got != want {
		t.Errorf("base: got %d, want %d", got, want)
	}
	got, _ := new(versioner.Document).With(reparsed.Upserts, nil).Digest()
	if want, _ := doc.Digest(); got != want {
		t.Errorf("digest after a round trip: got %s, want %s\n%s", got, want, b)
	}
}

// FuzzParse checks that Parse either reports problems or returns edits that can be
// formatted and parsed again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{complete, "", "delete = [\"route.a\"]", "[route.\"a.b\"]\nclass = \"\"", "fleet = {}", "a = [[[[", "[service]\nx = {partner = \"p\"}", "[[route]]", "base-version = -1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		edits, err := parser.Parse("f.toml", b)
		var invalid *decoder.InvalidError
		if err != nil && (!errors.As(err, &invalid) || len(invalid.Problems) == 0) {
			t.Fatalf("got %v, want an *InvalidError with problems", err)
		}
		if err != nil {
			return
		}
		doc := new(versioner.Document).With(edits.Upserts, nil)
		out, err := parser.Format(doc)
		if err != nil {
			t.Fatalf("formatting: %v", err)
		}
		if _, err := parser.Parse("f.toml", out); err != nil {
			t.Fatalf("parsing the formatted document: %v\n%s", err, out)
		}
	})
}

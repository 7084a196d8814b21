package validator_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

const base = `
[partner.magnolia]
share-percent = 60
[partner.regie]
share-percent = 40
[service.ledger-view]
partner = "magnolia"
[service.catalogue]
partner = "regie"
[route.shares]
partner = "magnolia"
path-prefix = "/shares"
service = "ledger-view"
class = "lookup"
`

// file is a configuration file as in package parser, but read without that
// package's checks.
type file struct {
	Delete    []string                       `toml:"delete"`
	Fleet     *versioner.Fleet               `toml:"fleet"`
	Partner   map[string]versioner.Partner   `toml:"partner"`
	Class     map[string]versioner.Class     `toml:"class"`
	Service   map[string]versioner.Service   `toml:"service"`
	Route     map[string]versioner.Route     `toml:"route"`
	Tenant    map[string]versioner.Tenant    `toml:"tenant"`
	Exception map[string]versioner.Exception `toml:"exception"`
}

func (f *file) edits() (upserts []versioner.Entry, deletes []versioner.Key) {
	add := func(kind versioner.Kind, name string, e versioner.Entry) {
		e.Key = versioner.Key{Kind: kind, Name: name}
		upserts = append(upserts, e)
	}
	if f.Fleet != nil {
		add(versioner.KindFleet, versioner.FleetName, versioner.Entry{Fleet: f.Fleet})
	}
	for name, v := range f.Partner {
		add(versioner.KindPartner, name, versioner.Entry{Partner: &v})
	}
	for name, v := range f.Class {
		add(versioner.KindClass, name, versioner.Entry{Class: &v})
	}
	for name, v := range f.Service {
		add(versioner.KindService, name, versioner.Entry{Service: &v})
	}
	for name, v := range f.Route {
		add(versioner.KindRoute, name, versioner.Entry{Route: &v})
	}
	for name, v := range f.Tenant {
		add(versioner.KindTenant, name, versioner.Entry{Tenant: &v})
	}
	for name, v := range f.Exception {
		add(versioner.KindException, name, versioner.Entry{Exception: &v})
	}
	for _, s := range f.Delete {
		kind, name, _ := strings.Cut(s, ".")
		deletes = append(deletes, versioner.Key{Kind: versioner.Kind(kind), Name: name})
	}
	return upserts, deletes
}

// document returns the document that the edits of the files lead to, in turn.
func document(t *testing.T, contents ...string) *versioner.Document {
	t.Helper()
	doc := new(versioner.Document)
	for _, content := range contents {
		var f file
		if err := decoder.Decode("test.toml", []byte(content), &f).Err(); err != nil {
			t.Fatal(err)
		}
		doc = doc.With(f.edits())
	}
	return doc
}

func TestCheck(t *testing.T) {
	exception := func(scope, setting, value, reason string) string {
		return "\n[exception.x]\n" + scope + "\nsetting = \"" + setting + "\"\nvalue = " + value + "\nreason = \"" + reason + "\"\n"
	}
	route := func(lines string) string {
		return "\n[route.r]\npartner = \"regie\"\nservice = \"catalogue\"\nclass = \"lookup\"\n" + lines
	}
	tenant := func(name, lines string) string { return "\n[tenant." + name + "]\n" + lines }
	keys := func(digits ...string) string {
		var list []string
		for _, d := range digits {
			list = append(list, `"`+strings.Repeat(d, 64)+`"`)
		}
		return "key-sha256 = [" + strings.Join(list, ", ") + "]\n"
	}
	manyKeys := make([]string, 65)
	for i := range manyKeys {
		manyKeys[i] = fmt.Sprintf(`"%064x"`, i)
	}
	for _, tt := range []struct {
		name, edit string
		// want is a substring of the only problem; empty means that the document
		// is valid.
		want string
	}{
		{"valid", "", ""},
		{"valid exception", exception(`service = "catalogue"`, "lookup.timeout-ms", "500", "slow disks"), ""},
		{"valid route", route(`path-prefix = "/stock"` + "\n" + `hosts = ["shop.example:8080"]` + "\n" + `methods = ["GET"]`), ""},
		{"sum of shares", "[partner.third]\nshare-percent = 1", "add up to 101"},
		{"share range", "[partner.magnolia]\nshare-percent = -1", "must be from 0 to 100"},
		{"token", "[partner.magnolia]\ntoken-sha256 = \"abc\"", "64 lower-case"},
		{"token of two partners", "[partner.magnolia]\ntoken-sha256 = \"" + strings.Repeat("a", 64) + "\"\n[partner.regie]\ntoken-sha256 = \"" + strings.Repeat("a", 64) + "\"", `is the token of partner "magnolia"`},
		{"name", "[partner.Magnolia_2]", "must be kebab-case"},
		{"long name", "[partner." + strings.Repeat("a", 64) + "]", "must be kebab-case"},
		{"class name", "[class.lookups]", "must be one of lookup"},
		{"fleet range", "[fleet]\neject-ms = 1", "eject-ms: must be from 100"},
		{"class range", "[class.lookup]\nmax-retries = 11", "max-retries: must be from 0 to 10"},
		{"reservations", "[class.lookup]\nreserved-percent = 80", "add up to 100"},
		{"reservations by exception", exception(`service = "catalogue"`, "scan.reserved-percent", "80", "x"), `at service "catalogue" add up to 100`},
		{"reservations by exception in a domain", exception(`failure-domain = "moelan"`, "scan.reserved-percent", "85", "x"), "add up to 105"},
		{"service of an unknown partner", "[service.ledger-view]\npartner = \"nobody\"", `partner "nobody", which does not exist`},
		{"service without partner", "[service.ledger-view]", "partner: is required"},
		{"slots", "[service.ledger-view]\npartner = \"magnolia\"\nslots = -1", "slots: must be from 0"},
		{"service under a route removed", "delete = [\"service.ledger-view\"]", `route.shares: service: names the service "ledger-view"`},
		{"route path", route(`path-prefix = "stock"`), "must start with /"},
		{"route path with query", route(`path-prefix = "/a?b"`), "characters of a URL path"},
		{"route path with dots", route(`path-prefix = "/a/../b"`), "dot segments"},
		{"route host", route(`path-prefix = "/a"` + "\n" + `hosts = ["Shop.example"]`), "lower-case host names"},
		{"route method", route(`path-prefix = "/a"` + "\n" + `methods = ["get"]`), "methods: must be one of"},
		{"route with the pattern of another", route(`path-prefix = "/shares/"`), "same requests as route.r"},
		{"route with the path of another, but a host", route(`path-prefix = "/shares"` + "\n" + `hosts = ["shop.example"]`), ""},
		{"tenants", tenant("north", keys("a", "b")+"priority = 1000\nrate-per-s = 0.5\nburst = 1000000000.0") + tenant("south", keys("c")), ""},
		{"tenant without keys", tenant("north", ""), ""},
		{"tenant's name", tenant("North", ""), "must be kebab-case"},
		{"key of two tenants", tenant("north", keys("a", "b")) + tenant("south", keys("c", "b")), `tenant.south: key-sha256: holds a key of tenant "north"`},
		{"key named twice", tenant("north", keys("a", "a")), "tenant.north: key-sha256: names a key twice"},
		{"key that is no digest", tenant("north", keys("x")), "64 lower-case hexadecimal digits"},
		{"key in upper case", tenant("north", keys("A")), "64 lower-case hexadecimal digits"},
		{"key that is too short", tenant("north", `key-sha256 = ["`+strings.Repeat("a", 62)+`"]`), "64 lower-case hexadecimal digits"},
		{"too many keys", tenant("north", "key-sha256 = ["+strings.Join(manyKeys, ", ")+"]"), "must be at most 64, got 65"},
		{"tenant's priority", tenant("north", "priority = 1001"), "priority: must be from 0 to 1000"},
		{"negative priority of a tenant", tenant("north", "priority = -1"), "priority: must be from 0 to 1000"},
		{"negative rate", tenant("north", "rate-per-s = -0.5"), "rate-per-s: must be from 0 to"},
		{"infinite rate", tenant("north", "rate-per-s = inf"), "rate-per-s: must be from 0 to"},
		{"rate that is no number", tenant("north", "rate-per-s = nan"), "rate-per-s: must be from 0 to"},
		{"too large a burst", tenant("north", "burst = 1000000001.0"), "burst: must be from 0 to"},
		{"exception without reason", exception(`service = "catalogue"`, "eject-ms", "500", " "), "reason: is required"},
		{"exception without scope", exception("", "eject-ms", "500", "x"), "at least one is required"},
		{"exception of an unknown setting", exception(`service = "catalogue"`, "eject", "500", "x"), "must name a setting"},
		{"exception out of range", exception(`service = "catalogue"`, "eject-ms", "1", "x"), "value: must be from 100"},
		{"exception for an unknown service", exception(`service = "cellar"`, "eject-ms", "500", "x"), `service "cellar", which does not exist`},
		{"exception across partners", exception("service = \"catalogue\"\npartner = \"magnolia\"", "eject-ms", "500", "x"), `belongs to partner "regie", and partner "magnolia" has no route to it`},
		{"exception for a service that the partner has a route to", exception("service = \"ledger-view\"\npartner = \"regie\"", "eject-ms", "500", "x") +
			"[route.r]\npartner = \"regie\"\nservice = \"ledger-view\"\nclass = \"lookup\"\npath-prefix = \"/r\"\n", ""},
		{"two exceptions for one setting in one scope", exception(`partner = "regie"`, "eject-ms", "500", "x") + "[exception.y]\npartner = \"regie\"\nsetting = \"eject-ms\"\nvalue = 600\nreason = \"y\"", "same scope as exception.x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := validator.Check(document(t, base, tt.edit))
			var invalid *validator.InvalidError
			switch {
			case tt.want == "":
				if err != nil {
					t.Errorf("got %v, want no problem", err)
				}
			case !errors.As(err, &invalid):
				t.Errorf("got %v, want a problem with %q", err, tt.want)
			case len(invalid.Problems) != 1 || !strings.Contains(err.Error(), tt.want):
				t.Errorf("got %d problems: %v, want one with %q", len(invalid.Problems), err, tt.want)
			}
		})
	}
}

func TestCheckMalformed(t *testing.T) {
	key := versioner.Key{Kind: versioner.KindService, Name: "a"}
	for name, doc := range map[string]*versioner.Document{
		"entry without a value":                     {Version: 1, Entries: []versioner.Entry{{Key: key}}},
		"value of another kind":                     {Version: 1, Entries: []versioner.Entry{{Key: key, Route: new(versioner.Route)}}},
		"entry twice":                               {Version: 1, Entries: []versioner.Entry{{Key: key, Service: new(versioner.Service)}, {Key: key, Service: new(versioner.Service)}}},
		"entry revision above the document version": {Version: 1, Entries: []versioner.Entry{{Key: key, Revision: 2, Service: new(versioner.Service)}}},
	} {
		var invalid *validator.InvalidError
		if err := validator.Check(doc); !errors.As(err, &invalid) {
			t.Errorf("%s: got %v, want an *InvalidError", name, err)
		}
	}
}

package authorizer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/authorizer"
	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/versioner"
)

const (
	magnoliaToken = "magnolia-token"
	regieToken    = "regie-token"
)

var base = fmt.Sprintf(`
[partner.magnolia]
share-percent = 50
token-sha256 = "%s"
[partner.regie]
share-percent = 40
token-sha256 = "%s"
[partner.guest]
[service.ledger-view]
partner = "magnolia"
[service.catalogue]
partner = "regie"
[service.cellar]
partner = "guest"
[route.shares]
partner = "magnolia"
path-prefix = "/shares"
service = "ledger-view"
class = "lookup"
[route.stock]
partner = "regie"
path-prefix = "/stock"
service = "catalogue"
class = "lookup"
[exception.slow]
service = "catalogue"
setting = "eject-ms"
value = 500
reason = "slow"
`, authorizer.HashToken(magnoliaToken), authorizer.HashToken(regieToken))

// with returns the document with the edits of a configuration file.
func with(t *testing.T, doc *versioner.Document, file string) *versioner.Document {
	t.Helper()
	edits, err := parser.Parse("test.toml", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	return doc.With(edits.Upserts, edits.Deletes)
}

// token returns the line that sets the hash of a partner's token.
func token(partner string) string {
	hash := authorizer.HashToken(partner + "-token")
	return "token-sha256 = \"" + hash + "\"\n"
}

// route returns an entry of a new route of partner magnolia, with more lines at the
// end.
func route(service, path, more string) string {
	return fmt.Sprintf("[route.new]\npartner = \"magnolia\"\nservice = %q\nclass = \"lookup\"\npath-prefix = %q\n%s", service, path, more)
}

// splitRoute returns an entry of a new route of partner magnolia that splits its calls;
// each part is "service = weight".
func splitRoute(parts ...string) string {
	text := "[route.new]\npartner = \"magnolia\"\nclass = \"lookup\"\npath-prefix = \"/new\"\n"
	for _, p := range parts {
		service, weight, _ := strings.Cut(p, " = ")
		text += fmt.Sprintf("[[route.new.split]]\nservice = %q\nweight = %s\n", service, weight)
	}
	return text
}

// A greater share of a split for another partner's service must need that partner's
// approval, a smaller one or another order of hosts must not.
func TestAuthorizeChangedSplit(t *testing.T) {
	for _, tt := range []struct {
		name, before, after, want string
	}{
		{"greater share", splitRoute("ledger-view = 9", "catalogue = 1"), splitRoute("ledger-view = 1", "catalogue = 9"), "foreign-service regie"},
		{"smaller share", splitRoute("ledger-view = 9", "catalogue = 1"), splitRoute("ledger-view = 19", "catalogue = 1"), ""},
		{"all calls in place of a part", splitRoute("ledger-view = 9", "catalogue = 1"), route("catalogue", "/new", ""), "foreign-service regie"},
		{"hosts in another order", route("ledger-view", "/stock/canes", `hosts = ["a", "b"]`), route("ledger-view", "/stock/canes", `hosts = ["b", "a"]`), ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			from := with(t, with(t, new(versioner.Document), base), tt.before)
			var a authorizer.Authorizer
			got := rules(t, a.Authorize(&acceptor.Change{Token: magnoliaToken}, from, with(t, from, tt.after)))
			if got != tt.want {
				t.Errorf("refusals: got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestAuthorize checks which approvals each edit by partner magnolia needs, and that
// the consent of the other partner, but not the author's own, allows the change.
func TestAuthorize(t *testing.T) {
	for _, tt := range []struct {
		name, edit string
		// want lists the refusals without consent, as "rule partner".
		want []string
		// consent is the partner whose consent allows the change; "" means that
		// none is needed.
		consent string
	}{
		{"own service", "[service.ledger-view]\npartner = \"magnolia\"\nslots = 12", nil, ""},
		{"own new service", "[service.payout-desk]\npartner = \"magnolia\"", nil, ""},
		{"own route", route("ledger-view", "/shares/old", ""), nil, ""},
		{"own exception", "[exception.x]\npartner = \"magnolia\"\nsetting = \"eject-ms\"\nvalue = 500\nreason = \"x\"", nil, ""},
		{"own token", "[partner.magnolia]\nshare-percent = 50\n" + token("other"), nil, ""},
		{"own share lowered", "[partner.magnolia]\nshare-percent = 49\n" + token("magnolia"), nil, ""},
		{"another's service", "[service.catalogue]\npartner = \"regie\"\nslots = 1", []string{"own-entry regie"}, "regie"},
		{"another's service removed", "delete = [\"service.catalogue\", \"route.stock\", \"exception.slow\"]", []string{"own-entry regie", "own-entry regie", "own-entry regie"}, "regie"},
		{"another's service claimed", "[service.catalogue]\npartner = \"magnolia\"", []string{"own-entry regie"}, "regie"},
		{"another's exception", "[exception.slow]\nservice = \"catalogue\"\nsetting = \"eject-ms\"\nvalue = 600\nreason = \"slow\"", []string{"own-entry regie"}, "regie"},
		{"another's token", "[partner.regie]\nshare-percent = 40\n" + token("stolen"), []string{"own-entry regie"}, "regie"},
		{"another's share lowered", "[partner.regie]\nshare-percent = 1\n" + token("regie"), []string{"lower-share regie"}, "regie"},
		{"own share raised", "[partner.magnolia]\nshare-percent = 60\n" + token("magnolia"), []string{"shared-default "}, "regie"},
		{"new partner", "[partner.fourth]", []string{"shared-default "}, "regie"},
		{"partner without a token", "[service.cellar]\npartner = \"guest\"\nslots = 1", []string{"own-entry "}, "regie"},
		{"own exception that affects another's service", "[exception.x]\npartner = \"magnolia\"\nsetting = \"eject-ms\"\nvalue = 500\nreason = \"x\"\n" + route("catalogue", "/catalogue", ""),
			[]string{"own-entry regie", "foreign-service regie"}, "regie"},
		{"fleet default", "[fleet]\neject-ms = 600", []string{"shared-default "}, "regie"},
		{"class default", "[class.posting]\nidempotent = true", []string{"shared-default "}, "regie"},
		{"exception for all partners", "[exception.x]\nfailure-domain = \"moelan\"\nsetting = \"eject-ms\"\nvalue = 500\nreason = \"x\"", []string{"shared-default "}, "regie"},
		{"route to another's service", route("catalogue", "/catalogue", ""), []string{"foreign-service regie"}, "regie"},
		{"split that leads to another's service", splitRoute("ledger-view = 9", "catalogue = 1"), []string{"foreign-service regie"}, "regie"},
		{"split over own services", splitRoute("ledger-view = 9", "payout-desk = 1") + "[service.payout-desk]\npartner = \"magnolia\"", nil, ""},
		{"route below another's path", route("ledger-view", "/stock/canes", ""), []string{"captured-route regie"}, "regie"},
		{"route above another's path, with a host", route("ledger-view", "/", `hosts = ["shop.example"]`), []string{"captured-route regie"}, "regie"},
		{"route above another's path", route("ledger-view", "/", ""), nil, ""},
		{"route with a path that only starts like another's", route("ledger-view", "/stocks", ""), nil, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			from := with(t, new(versioner.Document), base)
			to := with(t, from, tt.edit)
			var a authorizer.Authorizer
			change := &acceptor.Change{Token: magnoliaToken}
			got := rules(t, a.Authorize(change, from, to))
			if want := strings.Join(tt.want, ", "); got != want {
				t.Errorf("refusals: got %q, want %q", got, want)
			}
			if change.Audit.Partner != "magnolia" {
				t.Errorf("partner: got %q, want magnolia", change.Audit.Partner)
			}
			if tt.consent == "" {
				return
			}
			change.Consents = []string{tt.consent + "-token"}
			if err := a.Authorize(change, from, to); err != nil {
				t.Errorf("with consent: got %v, want no refusal", err)
			}
			change.Consents = []string{magnoliaToken}
			if err := a.Authorize(change, from, to); err == nil {
				t.Error("with the author's own consent: got no refusal, want one")
			}
		})
	}
}

// rules returns the refusals of a RefusedError as "rule partner", or "" if err is nil.
func rules(t *testing.T, err error) string {
	t.Helper()
	var refused *authorizer.RefusedError
	if err == nil {
		return ""
	}
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want a *RefusedError", err)
	}
	var list []string
	for _, r := range refused.Refusals {
		list = append(list, string(r.Rule)+" "+r.Partner)
	}
	return strings.Join(list, ", ")
}

func TestAuthorizeTokens(t *testing.T) {
	noTokens := with(t, new(versioner.Document), "[partner.magnolia]")
	withTokens := with(t, new(versioner.Document), base)
	bootstrap := authorizer.HashToken("bootstrap")
	for _, tt := range []struct {
		name      string
		from      *versioner.Document
		bootstrap string
		change    acceptor.Change
		want      string
	}{
		{"nobody has a token", noTokens, "", acceptor.Change{}, ""},
		{"bootstrap token", noTokens, bootstrap, acceptor.Change{Token: "bootstrap"}, ""},
		{"bootstrap token missing", noTokens, bootstrap, acceptor.Change{}, "a partner's token is required"},
		{"bootstrap token wrong", noTokens, bootstrap, acceptor.Change{Token: "x"}, "the author token belongs to no partner"},
		{"bootstrap token later", withTokens, bootstrap, acceptor.Change{Token: "bootstrap"}, "the author token belongs to no partner"},
		{"token missing", withTokens, "", acceptor.Change{}, "a partner's token is required"},
		{"token wrong", withTokens, "", acceptor.Change{Token: "x"}, "the author token belongs to no partner"},
		{"consent wrong", withTokens, "", acceptor.Change{Token: regieToken, Consents: []string{"x"}}, "the consent token belongs to no partner"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := authorizer.Authorizer{BootstrapSHA256: tt.bootstrap}
			got := ""
			if err := a.Authorize(&tt.change, tt.from, tt.from); err != nil {
				got = err.Error()
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if got, want := a.Counters.Unauthenticated.Value() == 1, tt.want != ""; got != want {
				t.Errorf("token counted as unauthenticated: got %t, want %t", got, want)
			}
		})
	}
}

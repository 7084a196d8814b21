package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tallier"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Keys of the tests contain secretMark, so that a key that was passed on or logged is found
// wherever it is.
const secretMark = "secret"

// tenantEntry returns a tenant that holds the keys.
func tenantEntry(name string, keys ...string) versioner.Entry {
	tenant := new(versioner.Tenant)
	for _, key := range keys {
		tenant.KeySHA256 = append(tenant.KeySHA256, versioner.HashKey(key))
	}
	return versioner.Entry{Key: versioner.Key{Kind: versioner.KindTenant, Name: name}, Tenant: tenant}
}

// offerEntries puts a version with the entries in force.
func (m *mesh) offerEntries(t testing.TB, entries ...versioner.Entry) {
	t.Helper()
	doc := m.forwarder.Applier.Current().Document
	if _, err := m.forwarder.Applier.Offer(doc.With(entries, nil)); err != nil {
		t.Fatal(err)
	}
}

// offerTenants puts a version with two tenants and a public route in force.
func (m *mesh) offerTenants(t testing.TB) {
	t.Helper()
	m.offerEntries(t, tenantEntry("north", "secret-n1", "secret-n2"), tenantEntry("south", "secret-s1"), versioner.Entry{
		Key:   versioner.Key{Kind: versioner.KindRoute, Name: "public"},
		Route: &versioner.Route{Partner: "magnolia", PathPrefix: "/public", Service: "payout-desk", Class: versioner.ClassLookup, Public: true},
	})
}

// recordHeaders makes the target record the header of each request that it runs.
func (f *fakeTarget) recordHeaders() *[]http.Header {
	headers := new([]http.Header)
	f.handle = func(r *http.Request, _ string) (*http.Response, error) {
		*headers = append(*headers, r.Header)
		return respond("ok"), nil
	}
	return headers
}

// callRaw sends a request with the given header lines, spelled as they are.
func (m *mesh) callRaw(t *testing.T, path string, lines ...string) int {
	t.Helper()
	text := "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + strings.Join(append(lines, "\r\n"), "\r\n")
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.forwarder.ServeHTTP(w, r.WithContext(m.ctx))
	return w.Code
}

// TestTenantIsThatOfTheKey checks which requests of a configuration with tenants are served,
// and that targets are told the key's tenant and never the key, whatever callers send.
func TestTenantIsThatOfTheKey(t *testing.T) {
	const key, tenant = "Bambooweir-Api-Key: ", "Bambooweir-Tenant: "
	for _, tt := range []struct {
		name, path string
		lines      []string
		want       int
		wantTenant string // "" means none
	}{
		{"known key", "/lookups", []string{key + "secret-n1"}, http.StatusOK, "north"},
		{"second key", "/lookups", []string{key + "secret-n2"}, http.StatusOK, "north"},
		{"key of another tenant", "/lookups", []string{key + "secret-s1"}, http.StatusOK, "south"},
		{"odd case", "/lookups", []string{"bAMBOOWEIR-api-KEY: secret-n1", "BAMBOOWEIR-TENANT: south"}, http.StatusOK, "north"},
		{"claimed tenant", "/lookups", []string{tenant + "south", key + "secret-n1", tenant + "south, west", tenant}, http.StatusOK, "north"},
		{"hop-by-hop fields", "/lookups", []string{"Connection: Bambooweir-Tenant, Bambooweir-Api-Key", key + "secret-n1", tenant + "south"}, http.StatusOK, "north"},
		{"two keys", "/lookups", []string{key + "secret-n1", key + "secret-s1"}, http.StatusOK, "north"},
		{"unknown key", "/lookups", []string{key + "secret-x"}, http.StatusUnauthorized, ""},
		{"unknown key before a known one", "/lookups", []string{key + "secret-x", key + "secret-n1"}, http.StatusUnauthorized, ""},
		{"digest of a key", "/lookups", []string{key + versioner.HashKey("secret-n1")}, http.StatusUnauthorized, ""},
		{"no key", "/lookups", nil, http.StatusUnauthorized, ""},
		{"no key but a tenant", "/lookups", []string{tenant + "north"}, http.StatusUnauthorized, ""},
		{"empty key", "/lookups", []string{key}, http.StatusUnauthorized, ""},
		{"public without a key", "/public", []string{tenant + "north"}, http.StatusOK, ""},
		{"public with a key", "/public", []string{key + "secret-s1", tenant + "north"}, http.StatusOK, "south"},
		{"public with an unknown key", "/public", []string{key + "secret-x", tenant + "north"}, http.StatusOK, ""},
		{"no route", "/none", []string{key + "secret-n1"}, http.StatusNotFound, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
				m.offerTenants(t)
				headers := m.targets["a"].recordHeaders()
				if got := m.callRaw(t, tt.path, tt.lines...); got != tt.want {
					t.Errorf("status: got %d, want %d", got, tt.want)
				}
				if got := len(*headers) == 1; got != (tt.want == http.StatusOK) {
					t.Errorf("requests at the target: got %d", len(*headers))
				}
				for _, h := range *headers {
					var want []string
					if tt.wantTenant != "" {
						want = []string{tt.wantTenant}
					}
					if got := h.Values("Bambooweir-Tenant"); !slices.Equal(got, want) {
						t.Errorf("tenant at the target: got %q, want %q", got, want)
					}
					if text := fmt.Sprint(h); strings.Contains(text, secretMark) || h.Values("Bambooweir-Api-Key") != nil {
						t.Errorf("header at the target: got %s, want none with the key", text)
					}
				}
				wantUnknown := int64(0)
				if tt.want == http.StatusUnauthorized {
					wantUnknown = 1
				}
				if got := m.forwarder.Counters.UnknownKeys.Value(); got != wantUnknown {
					t.Errorf("unknown keys: got %d, want %d", got, wantUnknown)
				}
			})
		})
	}
}

// TestHeadersWithoutTenantsAreThoseOfTheCaller checks that a configuration without tenants
// passes the fields on that it would otherwise set or drop.
func TestHeadersWithoutTenantsAreThoseOfTheCaller(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		headers := m.targets["a"].recordHeaders()
		m.callRaw(t, "/lookups", "Bambooweir-Api-Key: k", "Bambooweir-Tenant: north", "Bambooweir-Tenant: south")
		if len(*headers) != 1 {
			t.Fatalf("requests at the target: got %d, want 1", len(*headers))
		}
		h := (*headers)[0]
		if got, want := h.Values("Bambooweir-Tenant"), []string{"north", "south"}; !slices.Equal(got, want) {
			t.Errorf("tenant: got %q, want %q", got, want)
		}
		if got, want := h.Values("Bambooweir-Api-Key"), []string{"k"}; !slices.Equal(got, want) {
			t.Errorf("key: got %q, want %q", got, want)
		}
	})
}

// TestKeysAreNotLogged plays calls that end in each way, and checks that no log line of the
// daemons contains a key, and that those of a known tenant's calls name it.
func TestKeysAreNotLogged(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		core, logs := observer.New(zapcore.DebugLevel)
		a := m.targets["a"]
		m.forwarder.Log, a.executor.Log = zap.New(core), zap.New(core)
		m.offerTenants(t)
		statuses := map[string]int{"failed": http.StatusInternalServerError, "ok": http.StatusOK}
		a.handle = func(r *http.Request, body string) (*http.Response, error) {
			if body == "lost" {
				return nil, fmt.Errorf("connection reset")
			}
			res := respond(body)
			res.StatusCode = statuses[body]
			return res, nil
		}
		const key = "Bambooweir-Api-Key"
		m.call(m.ctx, "/lookups", "ok", key, "secret-x")
		m.call(m.ctx, "/lookups", "ok")
		m.call(m.ctx, "/none", "ok", key, "secret-n1")
		m.call(m.ctx, "/lookups", "ok", key, "secret-n1", "Bambooweir-Deadline-Ms", "soon")
		m.call(m.ctx, "/lookups", "ok", key, "secret-n1", "Content-Digest", "sha-256=:AAAA:")
		m.call(m.ctx, "/lookups", "ok", key, "secret-n1")
		m.call(m.ctx, "/lookups", "failed", key, "secret-n1")
		m.call(m.ctx, "/lookups", "lost", key, "secret-n1")
		m.call(m.ctx, "/postings", "lost", key, "secret-n1", "Idempotency-Key", "k")
		a.kill()
		a.announce(tracker.StateGone, false)
		m.call(m.ctx, "/postings", "ok", key, "secret-n1")
		events := make(map[string]bool)
		for _, line := range logs.All() {
			fields := line.ContextMap()
			if text := fmt.Sprint(line.Message, fields); strings.Contains(text, secretMark) || strings.Contains(text, versioner.HashKey("secret-n1")) {
				t.Errorf("log: got %s, want no key", text)
			}
			cause, _ := fields["cause"].(string)
			events[line.Message+" "+cause] = true
			if tenant, ok := fields["tenant"]; ok && tenant != "north" && cause != causeUnknownKey && cause != causeNoRoute {
				t.Errorf("%s %s: got tenant %q, want north", line.Message, cause, tenant)
			}
		}
		for _, want := range []string{"request-refused unknown-api-key", "request-refused no-route", "request-refused malformed-deadline", "request-refused content-digest-mismatch", "call-failed ", "call-unknown target-failed", "call-refused no-target"} {
			if !events[want] {
				t.Errorf("events: got %v, want %q among them", events, want)
			}
		}
	})
}

// TestUnknownConfigurationIsNotAnUnknownKey guards against a daemon that has no configuration
// yet turning a caller away for good.
func TestUnknownConfigurationIsNotAnUnknownKey(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		m.forwarder.Applier = new(applier.Applier)
		wantResponse(t, m.call(m.ctx, "/lookups", "1", "Bambooweir-Api-Key", "secret-n1"), "503", causeNoConfiguration)
		if got := m.forwarder.Counters.UnknownKeys.Value(); got != 0 {
			t.Errorf("unknown keys: got %d, want 0", got)
		}
	})
}

// TestCallsOfTenantsAreCounted checks the counts of tenants by the outcomes of their calls.
func TestCallsOfTenantsAreCounted(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		m.offerTenants(t)
		for range 3 {
			m.call(m.ctx, "/lookups", "1", "Bambooweir-Api-Key", "secret-n1")
		}
		m.call(m.ctx, "/lookups", "1", "Bambooweir-Api-Key", "secret-n1", "Bambooweir-Deadline-Ms", "soon")
		m.call(m.ctx, "/public", "1")
		m.call(m.ctx, "/lookups", "1", "Bambooweir-Api-Key", "secret-x")
		m.targets["a"].kill()
		m.targets["a"].announce(tracker.StateGone, false)
		m.call(m.ctx, "/postings", "1", "Bambooweir-Api-Key", "secret-s1")
		got, others := m.forwarder.Tenants.Report()
		want := []tallier.Tally{
			{Tenant: "north", Counts: tallier.Counts{Asked: 4, Answered: 3, Refused: 1}},
			{Tenant: "south", Counts: tallier.Counts{Asked: 1, Refused: 1}},
		}
		if !slices.Equal(got, want) || others != (tallier.Counts{}) {
			t.Errorf("counts: got %+v and %+v, want %+v and none", got, others, want)
		}
	})
}

// TestTenantsHaveOwnIdempotencyKeys guards against a tenant getting the answer to another
// tenant's posting because both chose the same idempotency key.
func TestTenantsHaveOwnIdempotencyKeys(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		m.offerTenants(t)
		for _, key := range []string{"secret-n1", "secret-s1", "secret-n2"} {
			wantResponse(t, m.call(m.ctx, "/postings", "1", "Bambooweir-Api-Key", key, "Idempotency-Key", "k"), "200", "ran 1")
		}
		wantRuns(t, m.targets["a"], "1", "1")
	})
}

// TestKeysTakenAwayFromOpenConnections takes many keys away with one version while their
// callers keep connections open and have requests under way: what was admitted is answered,
// and what is sent from then on, over the same connections, gets 401.
func TestKeysTakenAwayFromOpenConnections(t *testing.T) {
	const callers = 60
	keyOf := func(n int) string { return fmt.Sprintf("secret-%d", n) }
	// Tenant t0 keeps one of its keys, all others lose their last.
	var before, after []versioner.Entry
	for n := range callers / 2 {
		name := fmt.Sprintf("t%d", n)
		before = append(before, tenantEntry(name, keyOf(2*n), keyOf(2*n+1)))
		after = append(after, tenantEntry(name))
	}
	after[0] = tenantEntry("t0", keyOf(0))
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		m.offerEntries(t, before...)
		released := make(chan struct{})
		m.targets["a"].handle = func(*http.Request, string) (*http.Response, error) {
			<-released
			return respond("ok"), nil
		}
		var network memNetwork
		entry := &http.Server{Handler: m.forwarder}
		l := network.listen("entry:80")
		go func() { _ = entry.Serve(l) }()
		defer func() { _ = entry.Close() }()
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{DialContext: network.dial}}
				defer client.CloseIdleConnections()
				if got, _ := getWithKey(t, client, keyOf(n)); got != http.StatusOK {
					t.Errorf("caller %d before: got status %d, want 200", n, got)
				}
				want := http.StatusUnauthorized
				if n == 0 {
					want = http.StatusOK
				}
				if got, isReused := getWithKey(t, client, keyOf(n)); got != want || !isReused {
					t.Errorf("caller %d after: got status %d, connection reused %t; want %d and true", n, got, isReused, want)
				}
			})
		}
		time.Sleep(time.Second) // lets all callers be admitted
		if got := len(m.targets["a"].ran()); got != callers {
			t.Errorf("requests under way: got %d, want %d", got, callers)
		}
		m.offerEntries(t, after...)
		close(released)
		wg.Wait()
		if got := len(m.targets["a"].ran()); got != callers+1 {
			t.Errorf("requests at the target: got %d, want %d", got, callers+1)
		}
	})
}

// getWithKey sends a lookup with the key to the entry daemon. It returns the status of the
// response, and whether the connection had carried a request before.
func getWithKey(t *testing.T, client *http.Client, key string) (status int, isReused bool) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isReused = info.Reused }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://entry/lookups", nil)
	if err != nil {
		t.Error(err)
		return 0, false
	}
	r.Header.Set("Bambooweir-Api-Key", key)
	res, err := client.Do(r)
	if err != nil {
		t.Error(err)
		return 0, false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, isReused
}

package operator_test

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/authorizer"
	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

const firstConfig = `
[partner.magnolia]
token-sha256 = "MAGNOLIA"
[partner.regie]
token-sha256 = "REGIE"
[service.ledger-view]
partner = "magnolia"
`

// newAPI returns an API over the store, and a handler that serves it.
func newAPI(store storer.Client) (*operator.API, http.Handler) {
	s := &operator.API{
		Applier: new(applier.Applier), Table: new(tracker.Table),
		Acceptor: &acceptor.Acceptor{Store: store, Policy: new(authorizer.Authorizer)},
	}
	e := echo.New()
	s.Register(e)
	return s, e
}

// send makes a request and returns the response. The headers are alternating
// names and values.
func send(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// acceptFirstVersion makes firstConfig the first version.
func acceptFirstVersion(t *testing.T, h http.Handler) {
	t.Helper()
	body := strings.NewReplacer("MAGNOLIA", authorizer.HashToken("magnolia"), "REGIE", authorizer.HashToken("regie")).Replace(firstConfig)
	if w := send(h, http.MethodPost, operator.ChangesPath, body, operator.HeaderChangeID, "first"); w.Code != http.StatusOK {
		t.Fatalf("first version: got %d %s", w.Code, w.Body)
	}
}

func refusedCounter(s *operator.API) *expvar.Int   { return &s.Acceptor.Counters.Refused }
func malformedCounter(s *operator.API) *expvar.Int { return &s.Counters.Malformed }

func unauthenticatedCounter(s *operator.API) *expvar.Int {
	return &s.Acceptor.Policy.(*authorizer.Authorizer).Counters.Unauthenticated
}

func unauthorizedCounter(s *operator.API) *expvar.Int {
	return &s.Acceptor.Policy.(*authorizer.Authorizer).Counters.Unauthorized
}

func TestChangeProblems(t *testing.T) {
	const slots = "[service.ledger-view]\npartner = \"magnolia\"\nslots = 2\n"
	auth := []string{"Authorization", "Bearer magnolia", operator.HeaderChangeID, "x"}
	for _, tt := range []struct {
		name, body string
		headers    []string
		status     int
		cause      operator.Cause
		counter    func(*operator.API) *expvar.Int
	}{
		{"no change id", slots, auth[:2], http.StatusBadRequest, operator.CauseMalformed, refusedCounter},
		{"malformed file", "a = ", auth, http.StatusBadRequest, operator.CauseMalformed, malformedCounter},
		{"malformed base", slots, append(auth, operator.HeaderChangeBase, "-1"), http.StatusBadRequest, operator.CauseMalformed, malformedCounter},
		{"file too large", strings.Repeat("#", decoder.MaxFileBytes+1), auth, http.StatusRequestEntityTooLarge, operator.CauseTooLarge, malformedCounter},
		{"invalid", "[service.x]\npartner = \"nobody\"\n", auth, http.StatusUnprocessableEntity, operator.CauseInvalid, refusedCounter},
		{"no token", slots, auth[2:], http.StatusUnauthorized, operator.CauseUnauthenticated, unauthenticatedCounter},
		{"unknown token", slots, append([]string{"Authorization", "Bearer x"}, auth[2:]...), http.StatusUnauthorized, operator.CauseUnauthenticated, unauthenticatedCounter},
		{"entry of another partner", slots, append([]string{"Authorization", "Bearer regie"}, auth[2:]...), http.StatusForbidden, operator.CauseUnauthorized, unauthorizedCounter},
		{"delete of a missing entry", "delete = [\"route.x\"]", auth, http.StatusBadRequest, operator.CauseMalformed, refusedCounter},
		{"reused id", slots, append(auth[:2:2], operator.HeaderChangeID, "first"), http.StatusUnprocessableEntity, operator.CauseReusedID, refusedCounter},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, h := newAPI(new(fakestorer.Store))
			acceptFirstVersion(t, h)
			w := send(h, http.MethodPost, operator.ChangesPath, tt.body, tt.headers...)
			var p operator.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
				t.Fatal(err)
			}
			if w.Code != tt.status || p.Status != tt.status || p.Cause != tt.cause || p.Outcome != operator.OutcomeNotAccepted {
				t.Errorf("got %d %+v, want %d %s", w.Code, p, tt.status, tt.cause)
			}
			if got, want := w.Header().Get("Content-Type"), "application/problem+json"; got != want {
				t.Errorf("content type: got %s, want %s", got, want)
			}
			if got := tt.counter(s).Value(); got != 1 {
				t.Errorf("counter: got %d, want 1", got)
			}
		})
	}
}

func TestChangeConflictShowsBothEntries(t *testing.T) {
	_, h := newAPI(new(fakestorer.Store))
	acceptFirstVersion(t, h)
	edit := func(slots, id string) *httptest.ResponseRecorder {
		body := "base-version = 1\n[service.ledger-view]\npartner = \"magnolia\"\nslots = " + slots
		return send(h, http.MethodPost, operator.ChangesPath, body, "Authorization", "Bearer magnolia", operator.HeaderChangeID, id)
	}
	if w := edit("2", "one"); w.Code != http.StatusOK {
		t.Fatalf("first edit: got %d %s", w.Code, w.Body)
	}
	w := edit("3", "two")
	var p operator.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Conflict == nil {
		t.Fatalf("got %d %s, want a conflict", w.Code, w.Body)
	}
	if got, want := p.Conflict.Current.Service.Slots, 2; got != want {
		t.Errorf("current slots: got %d, want %d", got, want)
	}
	if got, want := p.Conflict.Wanted.Service.Slots, 3; got != want {
		t.Errorf("wanted slots: got %d, want %d", got, want)
	}
}

// TestReadParameters checks that each reading resource accepts its valid query
// parameters, also a limit far above the largest, and refuses others.
func TestReadParameters(t *testing.T) {
	_, h := newAPI(new(fakestorer.Store))
	acceptFirstVersion(t, h)
	for path, want := range map[string]int{
		operator.HistoryPath:                              http.StatusOK,
		operator.HistoryPath + "?limit=100000000":         http.StatusOK,
		operator.HistoryPath + "?limit=x":                 http.StatusBadRequest,
		operator.HistoryPath + "?limit=0":                 http.StatusBadRequest,
		operator.ExceptionsPath:                           http.StatusOK,
		operator.ConfigurationPath:                        http.StatusOK,
		operator.ConfigurationPath + "?source=in-force":   http.StatusOK,
		operator.ConfigurationPath + "?format=toml":       http.StatusOK,
		operator.ConfigurationPath + "?format=whatsoever": http.StatusBadRequest,
		operator.ConfigurationPath + "?source=whatsoever": http.StatusBadRequest,
	} {
		if got := send(h, http.MethodGet, path, "").Code; got != want {
			t.Errorf("%s: got %d, want %d", path, got, want)
		}
	}
}

// blockingStore responds to Get only when the request's context ends.
type blockingStore struct{ fakestorer.Store }

func (*blockingStore) Get(ctx context.Context, key string) (storer.Item, error) {
	<-ctx.Done()
	return storer.Item{}, &storer.UnavailableError{Op: key, Cause: ctx.Err()}
}

// TestConcurrentRequestsAreBounded guards against operators' requests piling up on a
// store that does not respond: only maxConcurrentRequests may run at a time, and the
// others must be refused as busy.
func TestConcurrentRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, h := newAPI(new(blockingStore))
		codes := make(chan string, 100)
		for range cap(codes) {
			go func() {
				w := send(h, http.MethodPost, operator.PlanPath, "[partner.magnolia]")
				var p operator.Problem
				_ = json.Unmarshal(w.Body.Bytes(), &p)
				codes <- string(p.Cause) + " " + w.Header().Get("Retry-After")
			}()
		}
		got := make(map[string]int)
		for range cap(codes) {
			got[<-codes]++
		}
		if got["busy 1"] != 92 || got["store-unavailable 1"] != 8 {
			t.Errorf("got %v, want 92 busy and 8 admitted requests", got)
		}
	})
}

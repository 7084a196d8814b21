package cmd

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/authorizer"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// serveOperatorAPI serves an operator API over store, wrapped by wrap, and returns
// its URL.
func serveOperatorAPI(t *testing.T, store storer.Client, wrap func(http.Handler) http.Handler) string {
	t.Helper()
	api := &operator.API{
		Applier: new(applier.Applier), Table: new(tracker.Table),
		Acceptor: &acceptor.Acceptor{Store: store, Policy: new(authorizer.Authorizer)},
	}
	e := echo.New()
	api.Register(e)
	server := httptest.NewServer(wrap(e))
	t.Cleanup(server.Close)
	return server.URL
}

// unwrapped adds nothing to the handler.
func unwrapped(h http.Handler) http.Handler { return h }

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edits.toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs a command and returns its output followed by its error, and its
// exit status.
func runCommand(t *testing.T, c *cobra.Command, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), exitStatus(err)
}

// TestApplyRetriesUntilDaemonListens guards against apply failing when the daemon
// is still starting: the first connection is refused, and the daemon listens only
// once apply has printed that it repeats the change.
func TestApplyRetriesUntilDaemonListens(t *testing.T) {
	addr := launcher.NewAddress()
	api := &operator.API{Applier: new(applier.Applier), Table: new(tracker.Table), Acceptor: &acceptor.Acceptor{Store: new(fakestorer.Store)}}
	e := echo.New()
	api.Register(e)
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	c := new(applyCommand).command()
	streams := &onWrite{do: sync.OnceFunc(func() {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		go func() { _ = server.Serve(l) }()
	})}
	defer func() { _ = server.Close() }()
	c.SetErr(streams)
	c.SetOut(&streams.out)
	c.SetArgs([]string{writeFile(t, "[partner.magnolia]\n"), "--daemon", "http://" + addr})
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatalf("got %v, want version 1 accepted", err)
	}
	if got, want := streams.out.String(), "version 1 accepted"; !strings.HasPrefix(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// onWrite serves as standard error and calls do on each write. Its field out
// collects standard output.
type onWrite struct {
	do  func()
	out bytes.Buffer
}

func (w *onWrite) Write(b []byte) (int, error) {
	w.do()
	return len(b), nil
}

// loseAnswers returns a wrapper that handles the first n changes but aborts their
// connections without an answer.
func loseAnswers(n int32) func(http.Handler) http.Handler {
	var seen atomic.Int32
	return func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost || seen.Add(1) > n {
				h.ServeHTTP(w, r)
				return
			}
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
	}
}

func TestApplyRepeatsChangeAfterLostAnswer(t *testing.T) {
	store := new(fakestorer.Store)
	url := serveOperatorAPI(t, store, loseAnswers(2))
	file := writeFile(t, "[partner.magnolia]\n")
	out, status := runCommand(t, new(applyCommand).command(), file, "--daemon", url)
	if status != statusOK || !strings.Contains(out, "version 1 accepted") {
		t.Errorf("got status %d and %q, want version 1 accepted", status, out)
	}
	deltas, err := acceptor.ReadHistory(t.Context(), store, 10)
	if err != nil || len(deltas) != 1 {
		t.Errorf("history: got %d versions and %v, want 1", len(deltas), err)
	}
}

func TestApplyOutcomeUnknown(t *testing.T) {
	url := serveOperatorAPI(t, new(fakestorer.Store), loseAnswers(1000))
	file := writeFile(t, "[partner.magnolia]\n")
	out, status := runCommand(t, new(applyCommand).command(), file, "--daemon", url, "--timeout", "1s", "--change-id", "one")
	if status != statusUnknown || !strings.Contains(out, "repeat with --change-id one") {
		t.Errorf("got status %d and %q, want an unknown outcome", status, out)
	}
}

// TestApplyRefusedAfterLostAnswer guards against apply reporting a definite refusal
// after an earlier attempt had no answer: the earlier attempt may still be running
// and succeed.
func TestApplyRefusedAfterLostAnswer(t *testing.T) {
	var seen atomic.Int32
	abortFirst := func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && seen.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			h.ServeHTTP(w, r)
		})
	}
	url := serveOperatorAPI(t, new(fakestorer.Store), abortFirst)
	file := writeFile(t, "[service.ledger-view]\npartner = \"nobody\"\n")
	out, status := runCommand(t, new(applyCommand).command(), file, "--daemon", url)
	if status != statusUnknown || !strings.Contains(out, "an earlier attempt had no answer, and the repeated request was not accepted: ") {
		t.Errorf("got status %d and %q, want an unknown outcome", status, out)
	}
}

func TestExitStatuses(t *testing.T) {
	token := authorizer.HashToken("magnolia-token")
	first := "[partner.magnolia]\ntoken-sha256 = \"" + token + "\"\n[service.ledger-view]\npartner = \"magnolia\"\n"
	url := serveOperatorAPI(t, new(fakestorer.Store), unwrapped)
	t.Setenv(tokenVariable, "magnolia-token")
	for _, tt := range []struct {
		name, content string
		args          []string
		want          int
		wantOut       string
	}{
		{"accepted", first, nil, statusOK, "version 1 accepted"},
		{"unchanged", first, nil, statusOK, "version 1 holds every edit already"},
		{"changed", "[service.ledger-view]\npartner = \"magnolia\"\nslots = 1\n", []string{"--output", "json"}, statusOK, `"version": 2`},
		{"malformed", "[fleeet]\n", nil, statusBadInput, `edits.toml:1:2: fleeet: unknown key, did you mean "fleet"?`},
		{"invalid", "[service.x]\npartner = \"nobody\"\n", nil, statusBadInput, `edits.toml:2:1: service.x.partner: names the partner "nobody"`},
		{"conflict", "[service.ledger-view]\npartner = \"magnolia\"\nslots = 2\n", []string{"--base", "1"}, statusConflict, "changed in version 2, after base version 1"},
		{"conflict shows both", "[service.ledger-view]\npartner = \"magnolia\"\nslots = 2\n", []string{"--base", "1"}, statusConflict, "  wanted:  partner=magnolia slots=2\n  current: partner=magnolia slots=1"},
		{"base newer than newest version", "[partner.regie]\n", []string{"--base", "9"}, statusBadInput, "base-version is 9, the newest version is 2"},
		{"refused", "[partner.regie]\n", []string{"--token", "other"}, statusRefused, "A partner's token is needed"},
		{"unreachable", "[partner.regie]\n", []string{"--daemon", "http://127.0.0.1:1", "--timeout", "100ms"}, statusFailure, "not accepted: "},
		{"unknown flag", "", []string{"--output", "xml"}, statusBadInput, "--output must be one of table, json"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			args := append([]string{writeFile(t, tt.content), "--daemon", url}, tt.args...)
			out, status := runCommand(t, new(applyCommand).command(), args...)
			if status != tt.want || !strings.Contains(out, tt.wantOut) {
				t.Errorf("got status %d and %q, want status %d and %q", status, out, tt.want, tt.wantOut)
			}
		})
	}
}

func TestWaitCountsDaemons(t *testing.T) {
	counts := []operator.VersionCount{{Version: 2, Daemons: 4}, {Version: 3, Daemons: 5}, {Version: 4, Daemons: 1}}
	for _, tt := range []struct {
		name         string
		in           operator.Status
		reached, all int
	}{
		{"counts", operator.Status{Version: 3, DistributionStatus: operator.DistributionStatus{DaemonsByVersion: counts}}, 6, 10},
		{"no counts, reached", operator.Status{Version: 3}, 1, 1},
		{"no counts, behind", operator.Status{Version: 2}, 0, 1},
		{"targets whose daemons have no known version", operator.Status{Version: 3, Targets: []tracker.Record{
			{InstanceID: "a", State: tracker.StateReady}, {InstanceID: "b", State: tracker.StateDraining}, {InstanceID: "c", State: tracker.StateGone},
		}}, 1, 2},
	} {
		if got, all := countReached(&tt.in, 3); got != tt.reached || all != tt.all {
			t.Errorf("%s: got %d of %d, want %d of %d", tt.name, got, all, tt.reached, tt.all)
		}
	}
}

func TestCheckReportsEveryFile(t *testing.T) {
	good := writeFile(t, "[partner.magnolia]\n")
	unresolved := writeFile(t, "[service.x]\npartner = \"magnolia\"\n")
	missing := filepath.Join(t.TempDir(), "missing.toml")
	for _, tt := range []struct {
		name string
		args []string
		want int
		out  []string
	}{
		{"good", []string{good}, statusOK, []string{"edits.toml: ok"}},
		{"edits that refer to missing entries", []string{unresolved}, statusOK, []string{"edits.toml: ok"}},
		{"edits as whole configuration", []string{"--whole", unresolved}, statusBadInput, []string{`edits.toml:2:1: service.x.partner: names the partner "magnolia"`}},
		{"several", []string{missing, good, writeFile(t, "a = 1\nb = 2\n")}, statusBadInput, []string{"missing.toml:1:1: open", "edits.toml: ok", ":1:1: a: unknown key", ":2:1: b: unknown key", "3 problems"}},
	} {
		out, status := runCommand(t, new(checkCommand).command(), tt.args...)
		if status != tt.want {
			t.Errorf("%s: got status %d, want %d", tt.name, status, tt.want)
		}
		for _, want := range tt.out {
			if !strings.Contains(out, want) {
				t.Errorf("%s: got %q, want output containing %q", tt.name, out, want)
			}
		}
	}
}

func TestUsageErrors(t *testing.T) {
	for _, tt := range []struct {
		args []string
		want int
		out  string
	}{
		{nil, statusOK, "Exit status: 0 done"},
		{[]string{"aply"}, statusBadInput, `unknown command "aply", did you mean apply?`},
		{[]string{"apply"}, statusBadInput, "accepts 1 arg(s), received 0"},
		{[]string{"apply", "--frob"}, statusBadInput, "unknown flag: --frob"},
		{[]string{"show", "x"}, statusBadInput, "x"},
		{[]string{"measure", "calls", "x"}, statusBadInput, "x"},
		{[]string{"measure", "convergence", "--frob"}, statusBadInput, "unknown flag: --frob"},
		{[]string{"history", "--limit", "x"}, statusBadInput, "invalid argument"},
		{[]string{"check", "--help"}, statusOK, "Examples:"},
		{[]string{"completion", "bash"}, statusOK, "bash completion"},
	} {
		out, status := runCommand(t, newRoot(), tt.args...)
		if status != tt.want || !strings.Contains(out, tt.out) {
			t.Errorf("%v: got status %d and %q, want status %d and %q", tt.args, status, out, tt.want, tt.out)
		}
	}
}

func TestExitStatusOfOtherErrors(t *testing.T) {
	if got, want := exitStatus(errors.New("x")), statusFailure; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// An answer that is too long must be an error, since its first part may be valid by itself.
func TestTooLongAnswer(t *testing.T) {
	for _, tt := range []struct {
		answer string
		want   string // "" means an error
	}{{"", ""}, {"1234", "1234"}, {"12345", ""}} {
		got, err := readAnswer(strings.NewReader(tt.answer), 4)
		if isError := len(tt.answer) > 4; isError != (err != nil) || !isError && string(got) != tt.want {
			t.Errorf("%q: got %q, %v", tt.answer, got, err)
		}
	}
}

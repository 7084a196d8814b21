// Package scripter implements the scenario language: testscript commands that run
// a small fleet of real processes, inject faults into its processes and links, and
// check the invariants.
//
// Only tests use it. docs/SCENARIOS.md describes the language.
package scripter

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/platform"
)

const (
	// waitTimeout is the longest time that a command waits for a condition, and
	// retryInterval is the pause between its checks.
	waitTimeout   = 60 * time.Second
	retryInterval = 20 * time.Millisecond
	// logTailLines is the number of lines of each process's log that a failed
	// command prints.
	logTailLines = 12
)

// Command implements one command of the language.
type Command = func(ts *testscript.TestScript, neg bool, args []string)

// scenarioKey is the key of the *scenario in testscript.Env.Values.
type scenarioKey struct{}

// scenario is the state of one script.
type scenario struct {
	ctx      context.Context
	fleet    *launcher.Fleet
	recorder *checker.Recorder
	caller   *caller.Caller
	stop     context.CancelFunc
	// originalHead is the store's head before the first forged version.
	originalHead []byte

	mu        sync.Mutex
	batches   map[string]*batch
	applyRuns map[string]*applyRun
}

// Setup creates the state of one script. The script's end kills its processes.
func Setup(env *testscript.Env) error {
	ctx, stop := context.WithCancel(context.Background())
	s := &scenario{
		ctx: ctx, stop: stop, recorder: new(checker.Recorder), caller: caller.New(),
		fleet:   launcher.New(lookPath(env.Getenv("PATH")), env.WorkDir),
		batches: make(map[string]*batch), applyRuns: make(map[string]*applyRun),
	}
	env.Values[scenarioKey{}] = s
	env.Defer(func() {
		stop()
		s.fleet.Close()
	})
	return nil
}

// lookPath returns the path of the bambooweir program, which it looks up in the
// directories of path.
func lookPath(path string) string {
	for _, dir := range filepath.SplitList(path) {
		file := filepath.Join(dir, "bambooweir")
		if _, err := os.Stat(file); err == nil {
			return file
		}
	}
	return "bambooweir"
}

// Commands returns the commands of the language by name.
func Commands() map[string]Command {
	return map[string]Command{
		"store":            command(0, 0, "store", (*scenario).store),
		"direct-calls":     command(0, 0, "direct-calls", (*scenario).directCalls),
		"daemon":           command(2, -1, "daemon NAME DOMAIN [SETTING...]", (*scenario).daemon),
		"target":           command(3, 3, "target NAME DAEMON SERVICE", (*scenario).target),
		"behave":           command(2, 2, "behave TARGET JSON", (*scenario).behave),
		"drain":            command(1, 1, "drain TARGET", (*scenario).drain),
		"crash":            command(1, -1, "crash PROCESS...", (*scenario).crash),
		"freeze":           command(1, -1, "freeze PROCESS...", (*scenario).freeze),
		"thaw":             command(1, -1, "thaw PROCESS...", (*scenario).thaw),
		"terminate":        command(1, -1, "terminate PROCESS...", (*scenario).terminate),
		"restart":          command(1, -1, "restart PROCESS...", (*scenario).restart),
		"supervise":        command(1, -1, "supervise PROCESS...", (*scenario).supervise),
		"wait-exit":        command(2, 2, "wait-exit PROCESS CODE", (*scenario).waitExit),
		"cut":              command(1, -1, "cut LINK...", (*scenario).cut),
		"strand":           command(1, -1, "strand LINK...", (*scenario).strand),
		"heal":             command(1, -1, "heal LINK...", (*scenario).heal),
		"refuse":           command(1, -1, "refuse LINK...", (*scenario).refuse),
		"silence":          command(1, -1, "silence LINK...", (*scenario).silence),
		"silence-answers":  command(1, -1, "silence-answers LINK...", (*scenario).silenceAnswers),
		"delay":            command(2, -1, "delay DURATION LINK...", (*scenario).delay),
		"throttle":         command(2, -1, "throttle BYTES-PER-SECOND LINK...", (*scenario).throttle),
		"lose-answers":     command(2, -1, "lose-answers TEXT LINK...", (*scenario).loseAnswers),
		"apply":            command(2, -1, "apply DAEMON FILE [FLAG...]", (*scenario).apply),
		"apply-start":      command(3, -1, "apply-start NAME DAEMON FILE [FLAG...]", (*scenario).applyStart),
		"apply-end":        command(2, 2, "apply-end NAME REGEXP", (*scenario).applyEnd),
		"put":              command(2, 2, "put KEY FILE", (*scenario).put),
		"forge":            command(1, 1, "forge KIND", (*scenario).forge),
		"call":             command(4, -1, "call NAME DAEMON METHOD PATH [OPTION=VALUE...]", (*scenario).call),
		"end-calls":        command(1, -1, "end-calls NAME...", (*scenario).endCalls),
		"wait-version":     command(1, -1, "wait-version VERSION [DAEMON...]", (*scenario).waitVersion),
		"wait-target":      command(2, -1, "wait-target TARGET STATE [DAEMON...]", (*scenario).waitTarget),
		"wait-answer":      command(4, 4, "wait-answer DAEMON METHOD PATH REGEXP", (*scenario).waitAnswer),
		"wait-url":         command(3, 3, "wait-url METHOD URL REGEXP", (*scenario).waitURL),
		"relay-of":         command(2, 2, "relay-of DOMAIN VARIABLE", (*scenario).relayOf),
		"wait-status":      command(2, -1, "wait-status REGEXP DAEMON...", (*scenario).waitStatus),
		"wait-counter":     command(2, 2, "wait-counter DAEMON NAME{=,>=,<=}N", (*scenario).waitCounter),
		"assert-counter":   command(2, 2, "assert-counter DAEMON NAME", (*scenario).assertCounter),
		"assert-peak":      command(2, 2, "assert-peak DAEMON MB", (*scenario).assertPeak),
		"wait-runs":        command(2, 2, "wait-runs NAME N", (*scenario).waitRuns),
		"wait-outcomes":    command(2, -1, "wait-outcomes NAME OUTCOME{=,>=,<=}N...", (*scenario).waitOutcomes),
		"assert-outcomes":  command(2, -1, "assert-outcomes NAME OUTCOME{=,>=,<=}N...", (*scenario).assertOutcomes),
		"assert-runs":      command(2, 2, "assert-runs NAME [{>=,<=}]N", (*scenario).assertRuns),
		"check-invariants": command(0, -1, "check-invariants [INVARIANT...]", (*scenario).checkInvariants),
	}
}

// command returns a Command that checks the number of arguments, runs a method of
// the script's scenario, and prints the logs if it fails. A maxArgs of -1 means
// that there is no maximum.
func command(minArgs, maxArgs int, usage string, run func(*scenario, *testscript.TestScript, []string) error) Command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < minArgs || (maxArgs >= 0 && len(args) > maxArgs) {
			ts.Fatalf("usage: %s", usage)
		}
		s := ts.Value(scenarioKey{}).(*scenario)
		if err := run(s, ts, args); err != nil {
			ts.Logf("%s", s.logs())
			ts.Fatalf("%v", err)
		}
	}
}

// logs returns the last lines of each process's log.
func (s *scenario) logs() string {
	var b strings.Builder
	names := []string{launcher.StoreName}
	for _, d := range s.fleet.Daemons() {
		names = append(names, d.Name)
	}
	for _, t := range s.fleet.Targets() {
		names = append(names, t.Name)
	}
	for _, name := range names {
		content, _ := os.ReadFile(s.fleet.LogPath(name))
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		fmt.Fprintf(&b, "[%s]\n%s\n", name, strings.Join(lines[max(0, len(lines)-logTailLines):], "\n"))
	}
	return b.String()
}

// waitUntil repeats a check until it returns nil. After waitTimeout it returns the
// check's last error.
func waitUntil(check func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s: %w", waitTimeout, err)
		}
		time.Sleep(retryInterval)
	}
}

// storeClient returns a client of the fake store that bypasses every proxy.
func (s *scenario) storeClient() *platform.Store {
	return &platform.Store{BaseURL: s.fleet.StoreURL()}
}

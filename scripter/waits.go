package scripter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/tracker"
)

const fetchTimeout = 10 * time.Second

// fetch makes a request and returns "STATUS BODY", or the text of the error.
func fetch(ctx context.Context, method, url, body string) string {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", res.StatusCode, b)
}

// status returns the status of a daemon.
func (s *scenario) status(name string) (operator.Status, error) {
	var status operator.Status
	answer, err := s.statusText(name)
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal([]byte(answer), &status); err != nil {
		return status, fmt.Errorf("%s: %s", name, answer)
	}
	return status, nil
}

// statusText returns the status of a daemon as JSON.
func (s *scenario) statusText(name string) (string, error) {
	d, err := s.fleet.Daemon(name)
	if err != nil {
		return "", err
	}
	answer := fetch(s.ctx, http.MethodGet, d.OperatorURL+operator.StatusPath, "")
	body, ok := strings.CutPrefix(answer, "200 ")
	if !ok {
		return "", fmt.Errorf("%s: %s", name, answer)
	}
	return body, nil
}

// daemonsOrRunning returns names, or the names of all running daemons if names is
// empty.
func (s *scenario) daemonsOrRunning(names []string) []string {
	if len(names) > 0 {
		return names
	}
	for _, d := range s.fleet.Daemons() {
		if s.fleet.IsRunning(d.Name) {
			names = append(names, d.Name)
		}
	}
	return names
}

// waitDaemons waits for each of the named daemons, or for all running ones, until
// check accepts its status.
func (s *scenario) waitDaemons(names []string, check func(operator.Status) error) error {
	for _, name := range s.daemonsOrRunning(names) {
		err := waitUntil(func() error {
			status, err := s.status(name)
			if err != nil {
				return err
			}
			return check(status)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// waitVersion waits until daemons have a version in force.
func (s *scenario) waitVersion(_ *testscript.TestScript, args []string) error {
	return s.waitDaemons(args[1:], func(status operator.Status) error {
		if got, want := strconv.FormatUint(uint64(status.Version), 10), args[0]; got != want {
			return fmt.Errorf("%s: got version %s, want %s", status.InstanceID, got, want)
		}
		return nil
	})
}

// waitTarget waits until daemons have a target's record in a state. Records carry
// the name of the target's daemon. A target without a record counts as "gone".
func (s *scenario) waitTarget(_ *testscript.TestScript, args []string) error {
	t, err := s.fleet.Target(args[0])
	if err != nil {
		return err
	}
	return s.waitDaemons(args[2:], func(status operator.Status) error {
		got := tracker.StateGone.String()
		for _, record := range status.Targets {
			if record.InstanceID == t.Daemon {
				got = record.State.String()
			}
		}
		if want := args[1]; got != want {
			return fmt.Errorf("%s: got target %s %s, want %s", status.InstanceID, t.Name, got, want)
		}
		return nil
	})
}

// waitStatus waits until the status of each daemon matches a regular expression.
func (s *scenario) waitStatus(_ *testscript.TestScript, args []string) error {
	want, err := regexp.Compile(args[0])
	if err != nil {
		return err
	}
	for _, name := range args[1:] {
		err := waitUntil(func() error {
			got, err := s.statusText(name)
			if err == nil && !want.MatchString(got) {
				err = fmt.Errorf("%s: got status %s, want match for %q", name, got, want)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// waitAnswer waits until the answer to a call, as "STATUS BODY", matches a regular
// expression.
func (s *scenario) waitAnswer(ts *testscript.TestScript, args []string) error {
	d, err := s.fleet.Daemon(args[0])
	if err != nil {
		return err
	}
	return s.waitURL(ts, []string{args[1], d.CallerURL + args[2], args[3]})
}

// waitURL waits until the answer to a request, as "STATUS BODY", matches a regular
// expression.
func (s *scenario) waitURL(_ *testscript.TestScript, args []string) error {
	want, err := regexp.Compile(args[2])
	if err != nil {
		return err
	}
	return waitUntil(func() error {
		if got := fetch(s.ctx, args[0], args[1], ""); !want.MatchString(got) {
			return fmt.Errorf("%s %s: got %q, want match for %q", args[0], args[1], got, want)
		}
		return nil
	})
}

// waitRuns waits until at least N runs have begun, of a batch's calls or on a
// target.
func (s *scenario) waitRuns(_ *testscript.TestScript, args []string) error {
	cond, err := parseCondition("runs>=" + args[1])
	if err != nil {
		return err
	}
	return waitUntil(func() error {
		got, err := s.countRuns(args[0])
		if err != nil {
			return err
		}
		return cond.check(got)
	})
}

// assertRuns fails unless exactly N runs have begun, or at least or at most as many, of a
// batch's calls or on a target.
func (s *scenario) assertRuns(_ *testscript.TestScript, args []string) error {
	bound := args[1]
	if !strings.ContainsAny(bound[:1], "<>") {
		bound = "=" + bound
	}
	cond, err := parseCondition("runs" + bound)
	if err != nil {
		return err
	}
	got, err := s.countRuns(args[0])
	if err != nil {
		return err
	}
	return cond.check(got)
}

// countRuns returns the number of runs that have begun. The name is that of a
// batch, whose runs are counted on all targets, or else of a target.
func (s *scenario) countRuns(name string) (int, error) {
	isCounted := func(faketarget.Run) bool { return true }
	targets := []string{name}
	if b, err := s.findBatch(name); err == nil {
		targets = nil
		for _, t := range s.fleet.Targets() {
			targets = append(targets, t.Name)
		}
		isCounted = func(run faketarget.Run) bool { return b.hasID(run.CallID) }
	}
	got := 0
	for _, target := range targets {
		events, err := s.events(target)
		if err != nil {
			return 0, err
		}
		for _, e := range events {
			if e.Run != nil && isCounted(*e.Run) {
				got++
			}
		}
	}
	return got, nil
}

// events returns the events in a target's journal.
func (s *scenario) events(target string) ([]faketarget.Event, error) {
	f, err := os.Open(s.fleet.JournalPath(target))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return faketarget.ReadJournal(f)
}

// waitOutcomes waits until a batch satisfies all conditions.
func (s *scenario) waitOutcomes(ts *testscript.TestScript, args []string) error {
	return waitUntil(func() error { return s.assertOutcomes(ts, args) })
}

// assertOutcomes fails unless a batch satisfies all conditions.
func (s *scenario) assertOutcomes(_ *testscript.TestScript, args []string) error {
	b, err := s.findBatch(args[0])
	if err != nil {
		return err
	}
	counts := b.countOutcomes()
	for _, arg := range args[1:] {
		cond, err := parseCondition(arg)
		if err != nil {
			return err
		}
		if err := cond.check(counts[cond.name]); err != nil {
			return fmt.Errorf("%w; all: %v; %s", err, counts, b.describeUnanswered())
		}
	}
	return nil
}

// checkInvariants checks the invariants on everything recorded so far. It fails
// unless exactly the invariants in args are broken; scenarios name some to show
// that the checker detects their violation.
func (s *scenario) checkInvariants(ts *testscript.TestScript, args []string) error {
	for _, d := range s.fleet.Daemons() {
		if s.fleet.IsRunning(d.Name) {
			s.recorder.PollDaemon(s.ctx, d.Name, d.OperatorURL)
		}
	}
	for _, t := range s.fleet.Targets() {
		if err := s.recorder.AddJournal(t.Name, s.fleet.JournalPath(t.Name)); err != nil {
			return err
		}
	}
	got := []string{}
	for _, v := range s.recorder.Check() {
		ts.Logf("%s", v)
		got = append(got, string(v.Invariant))
	}
	slices.Sort(got)
	got = slices.Compact(got)
	slices.Sort(args)
	if !slices.Equal(got, args) {
		return fmt.Errorf("got broken invariants %v, want %v", got, args)
	}
	ts.Logf("outcomes: %v, invariants checked: %v", s.recorder.OutcomeCounts(), checker.Invariants())
	return nil
}

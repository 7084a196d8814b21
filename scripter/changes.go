package scripter

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"
)

// applyRun is one run of the "bambooweir apply" command.
type applyRun struct {
	// done is closed once the command has ended and output is set.
	done   chan struct{}
	output string
}

// apply submits a change and fails unless it is accepted.
func (s *scenario) apply(ts *testscript.TestScript, args []string) error {
	a, err := s.startApply(ts, args)
	if err != nil {
		return err
	}
	<-a.done
	ts.Logf("%s", a.output)
	if !regexp.MustCompile(`version \d+ accepted`).MatchString(a.output) {
		return fmt.Errorf("not accepted: %s", a.output)
	}
	return nil
}

// applyStart submits a change in the background.
func (s *scenario) applyStart(ts *testscript.TestScript, args []string) error {
	a, err := s.startApply(ts, args[1:])
	if err != nil {
		return err
	}
	s.applyRuns[args[0]] = a
	return nil
}

// applyEnd waits for the end of a change in the background and matches the
// output of its command.
func (s *scenario) applyEnd(ts *testscript.TestScript, args []string) error {
	a, ok := s.applyRuns[args[0]]
	if !ok {
		return fmt.Errorf("no change named %q was started", args[0])
	}
	<-a.done
	ts.Logf("%s", a.output)
	if !regexp.MustCompile(args[1]).MatchString(a.output) {
		return fmt.Errorf("got output %q, want match for %q", a.output, args[1])
	}
	return nil
}

// startApply starts "bambooweir apply" with a file of edits. It adds a reason and
// an author unless args holds them.
func (s *scenario) startApply(ts *testscript.TestScript, args []string) (*applyRun, error) {
	d, err := s.fleet.Daemon(args[0])
	if err != nil {
		return nil, err
	}
	flags := []string{"apply", ts.MkAbs(args[1]), "--daemon", d.OperatorURL}
	flags = append(flags, args[2:]...)
	for flag, value := range map[string]string{"--reason": "scenario", "--author": "ada"} {
		if !slices.Contains(flags, flag) {
			flags = append(flags, flag, value)
		}
	}
	cmd := exec.CommandContext(s.ctx, lookPath(ts.Getenv("PATH")), flags...)
	cmd.Env = append(os.Environ(), "BAMBOOWEIR_TOKEN="+ts.Getenv("BAMBOOWEIR_TOKEN"))
	a := &applyRun{done: make(chan struct{})}
	go func() {
		defer close(a.done)
		output, err := cmd.CombinedOutput()
		a.output = string(output)
		if err != nil {
			a.output += err.Error()
		}
	}()
	return a, nil
}

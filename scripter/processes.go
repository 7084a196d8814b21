package scripter

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/faulter"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/operator"
)

func (s *scenario) store(*testscript.TestScript, []string) error {
	if err := s.fleet.StartStore(); err != nil {
		return err
	}
	go s.recorder.WatchStore(s.ctx, s.storeClient())
	return nil
}

func (s *scenario) daemon(ts *testscript.TestScript, args []string) error {
	if err := s.fleet.StartDaemon(args[0], args[1], args[2:]...); err != nil {
		return err
	}
	d, err := s.fleet.Daemon(args[0])
	if err != nil {
		return err
	}
	ts.Setenv(args[0]+"_url", d.OperatorURL)
	go s.recorder.WatchDaemon(s.ctx, d.Name, d.OperatorURL)
	return s.awaitHealth(d)
}

// awaitHealth waits until a daemon serves.
func (s *scenario) awaitHealth(d launcher.Daemon) error {
	return await(func() error {
		answer := fetch(s.ctx, http.MethodGet, d.OperatorURL+operator.HealthPath, "")
		if !strings.HasPrefix(answer, "204") {
			return fmt.Errorf("%s: %s", d.Name, answer)
		}
		return nil
	})
}

func (s *scenario) target(_ *testscript.TestScript, args []string) error {
	return s.fleet.StartTarget(args[0], args[1], args[2])
}

// behave changes how a target treats its calls.
func (s *scenario) behave(_ *testscript.TestScript, args []string) error {
	return s.order(args[0], faketarget.BehaviorPath, args[1])
}

// drain makes a target announce that it leaves.
func (s *scenario) drain(_ *testscript.TestScript, args []string) error {
	return s.order(args[0], faketarget.DrainPath, "")
}

// order gives a target an order once it serves.
func (s *scenario) order(name, path, body string) error {
	t, err := s.fleet.Target(name)
	if err != nil {
		return err
	}
	return await(func() error {
		answer := fetch(s.ctx, http.MethodPut, t.URL+path, body)
		if !strings.HasPrefix(answer, "200 ") {
			return fmt.Errorf("%s: %s", name, answer)
		}
		return nil
	})
}

// each runs an operation on each name and records it as unplanned.
func (s *scenario) each(names []string, do func(string) error) error {
	s.recorder.MarkFaultsInjected()
	for _, name := range names {
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) kill(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		if d, err := s.fleet.Daemon(name); err == nil {
			s.recorder.PollDaemon(s.ctx, name, d.OperatorURL)
		}
	}
	return s.each(args, s.fleet.Kill)
}

func (s *scenario) freeze(_ *testscript.TestScript, args []string) error {
	return s.each(args, s.fleet.Freeze)
}

func (s *scenario) thaw(_ *testscript.TestScript, args []string) error {
	return s.each(args, s.fleet.Thaw)
}

func (s *scenario) restart(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		if err := s.fleet.Restart(name); err != nil {
			return err
		}
	}
	for _, name := range args {
		d, err := s.fleet.Daemon(name)
		if err != nil {
			continue
		}
		if err := s.awaitHealth(d); err != nil {
			return err
		}
	}
	return nil
}

// stopProcess asks for a graceful end. It is a planned stop.
func (s *scenario) stopProcess(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		s.recorder.AddStop(name)
		if err := s.fleet.Stop(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) waitExit(_ *testscript.TestScript, args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, waitBound)
	defer cancel()
	got, err := s.fleet.ExitCode(ctx, args[0])
	if err != nil {
		return err
	}
	if want := args[1]; strconv.Itoa(got) != want {
		return fmt.Errorf("%s: got exit status %d, want %s", args[0], got, want)
	}
	return nil
}

// links acts on each link and records it as unplanned.
func (s *scenario) links(names []string, do func(*faulter.Proxy)) error {
	return s.each(names, func(name string) error {
		p, err := s.fleet.Link(name)
		if err != nil {
			return err
		}
		do(p)
		return nil
	})
}

func (s *scenario) fault(names []string, f faulter.Fault) error {
	return s.links(names, func(p *faulter.Proxy) { p.Set(f) })
}

func (s *scenario) cut(_ *testscript.TestScript, args []string) error {
	return s.links(args, (*faulter.Proxy).Cut)
}

func (s *scenario) strand(_ *testscript.TestScript, args []string) error {
	return s.links(args, (*faulter.Proxy).SilenceOpenConns)
}

func (s *scenario) heal(_ *testscript.TestScript, args []string) error {
	return s.fault(args, faulter.Fault{})
}

func (s *scenario) refuse(_ *testscript.TestScript, args []string) error {
	return s.fault(args, faulter.Fault{Refuse: true})
}

func (s *scenario) silence(_ *testscript.TestScript, args []string) error {
	return s.fault(args, faulter.Fault{Silence: faulter.Both})
}

func (s *scenario) silenceAnswers(_ *testscript.TestScript, args []string) error {
	return s.fault(args, faulter.Fault{Silence: faulter.Downstream})
}

func (s *scenario) delay(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return s.fault(args[1:], faulter.Fault{Delay: d})
}

func (s *scenario) throttle(_ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return s.fault(args[1:], faulter.Fault{BytesPerSecond: n})
}

func (s *scenario) loseAnswers(_ *testscript.TestScript, args []string) error {
	return s.fault(args[1:], faulter.Fault{LoseAnswersTo: args[0]})
}

// put writes a file's content under a key of the store, past every check.
func (s *scenario) put(ts *testscript.TestScript, args []string) error {
	store := s.storeClient()
	item, _ := store.Get(s.ctx, args[0])
	content, err := os.ReadFile(ts.MkAbs(args[1]))
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(s.ctx, args[0], content, item.Revision, 0)
	return err
}

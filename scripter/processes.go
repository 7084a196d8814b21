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

// store starts the fake store and begins to record the accepted versions.
func (s *scenario) store(*testscript.TestScript, []string) error {
	if err := s.fleet.StartStore(); err != nil {
		return err
	}
	go s.recorder.WatchStore(s.ctx, s.storeClient())
	return nil
}

// directCalls makes daemons and targets that are started later reach each other without
// proxies.
func (s *scenario) directCalls(*testscript.TestScript, []string) error {
	s.fleet.DirectCalls = true
	return nil
}

// daemon starts a daemon, sets the variable NAME_url to its operator URL, begins
// to record its versions and waits until it serves.
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
	return s.waitHealthy(d)
}

// waitHealthy waits until a daemon's health resource answers with status 204.
func (s *scenario) waitHealthy(d launcher.Daemon) error {
	return waitUntil(func() error {
		answer := fetch(s.ctx, http.MethodGet, d.OperatorURL+operator.HealthPath, "")
		if !strings.HasPrefix(answer, "204") {
			return fmt.Errorf("%s: %s", d.Name, answer)
		}
		return nil
	})
}

// target starts a fake target beside a daemon.
func (s *scenario) target(_ *testscript.TestScript, args []string) error {
	return s.fleet.StartTarget(args[0], args[1], args[2])
}

// behave sets the behavior of a fake target.
func (s *scenario) behave(_ *testscript.TestScript, args []string) error {
	return s.putControl(args[0], faketarget.BehaviorPath, args[1])
}

// drain makes a fake target announce to its daemon that it drains.
func (s *scenario) drain(_ *testscript.TestScript, args []string) error {
	return s.putControl(args[0], faketarget.DrainPath, "")
}

// putControl sends a PUT request to a control resource of a fake target. It
// retries until the target answers with status 200.
func (s *scenario) putControl(name, path, body string) error {
	t, err := s.fleet.Target(name)
	if err != nil {
		return err
	}
	return waitUntil(func() error {
		answer := fetch(s.ctx, http.MethodPut, t.URL+path, body)
		if !strings.HasPrefix(answer, "200 ") {
			return fmt.Errorf("%s: %s", name, answer)
		}
		return nil
	})
}

// injectEach calls do for each name and records that faults were injected.
func (s *scenario) injectEach(names []string, do func(string) error) error {
	s.recorder.MarkFaultsInjected()
	for _, name := range names {
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}

// crash kills processes. It first records the versions that the daemons among them
// have put in force, because a killed daemon loses this history.
func (s *scenario) crash(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		if d, err := s.fleet.Daemon(name); err == nil {
			s.recorder.PollDaemon(s.ctx, name, d.OperatorURL)
		}
	}
	return s.injectEach(args, s.fleet.Kill)
}

// freeze suspends processes.
func (s *scenario) freeze(_ *testscript.TestScript, args []string) error {
	return s.injectEach(args, s.fleet.Freeze)
}

// thaw resumes frozen processes.
func (s *scenario) thaw(_ *testscript.TestScript, args []string) error {
	return s.injectEach(args, s.fleet.Thaw)
}

// restart starts ended processes again and waits until the daemons among them
// serve.
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
		if err := s.waitHealthy(d); err != nil {
			return err
		}
	}
	return nil
}

// supervise starts processes again each time that they end, and records that faults are
// injected.
func (s *scenario) supervise(_ *testscript.TestScript, args []string) error {
	return s.injectEach(args, s.fleet.Supervise)
}

// terminate asks processes to shut down gracefully and records planned stops.
func (s *scenario) terminate(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		s.recorder.AddStop(name)
		if err := s.fleet.Stop(name); err != nil {
			return err
		}
	}
	return nil
}

// waitExit waits until a process has ended and checks its exit status.
func (s *scenario) waitExit(_ *testscript.TestScript, args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, waitTimeout)
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

// injectOnLinks calls do for the proxy of each link and records that faults were
// injected.
func (s *scenario) injectOnLinks(names []string, do func(*faulter.Proxy)) error {
	return s.injectEach(names, func(name string) error {
		p, err := s.fleet.Link(name)
		if err != nil {
			return err
		}
		do(p)
		return nil
	})
}

// setFault replaces the fault of each link.
func (s *scenario) setFault(names []string, f faulter.Fault) error {
	return s.injectOnLinks(names, func(p *faulter.Proxy) { p.Set(f) })
}

// cut closes the open connections of links and refuses new ones.
func (s *scenario) cut(_ *testscript.TestScript, args []string) error {
	return s.injectOnLinks(args, (*faulter.Proxy).Cut)
}

// strand stops forwarding on the open connections of links, which heal does not
// undo. New connections work.
func (s *scenario) strand(_ *testscript.TestScript, args []string) error {
	return s.injectOnLinks(args, (*faulter.Proxy).SilenceOpenConns)
}

// heal removes the faults of links.
func (s *scenario) heal(_ *testscript.TestScript, args []string) error {
	return s.setFault(args, faulter.Fault{})
}

// refuse makes links close each new connection; open connections continue.
func (s *scenario) refuse(_ *testscript.TestScript, args []string) error {
	return s.setFault(args, faulter.Fault{Refuse: true})
}

// silence stops forwarding on links in both directions, without closing
// connections.
func (s *scenario) silence(_ *testscript.TestScript, args []string) error {
	return s.setFault(args, faulter.Fault{Silence: faulter.Both})
}

// silenceAnswers stops forwarding on links from the server to the client.
func (s *scenario) silenceAnswers(_ *testscript.TestScript, args []string) error {
	return s.setFault(args, faulter.Fault{Silence: faulter.Downstream})
}

// delay delays each chunk of bytes on links by a duration.
func (s *scenario) delay(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return s.setFault(args[1:], faulter.Fault{Delay: d})
}

// throttle limits the bandwidth of each connection on links, in either direction.
func (s *scenario) throttle(_ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return s.setFault(args[1:], faulter.Fault{BytesPerSecond: n})
}

// loseAnswers drops the answers to the requests on links that contain a text.
func (s *scenario) loseAnswers(_ *testscript.TestScript, args []string) error {
	return s.setFault(args[1:], faulter.Fault{LoseAnswersTo: args[0]})
}

// put writes a file's content to a key of the store, bypassing every check of the
// daemons.
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

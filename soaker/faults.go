package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/faulter"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	// maxPause bounds the random pause between the faults of one injector.
	maxPause = 800 * time.Millisecond
	// maxFaultDuration bounds the random duration of a fault.
	maxFaultDuration = 4 * time.Second
	// narrowBytesPerSecond is the bandwidth of a throttled link, about a tenth of a
	// link of 5 Mbit/s.
	narrowBytesPerSecond = 64 << 10
	// soakCallsPerSecond is the rate limit that a target in need names, far below what it
	// gets.
	soakCallsPerSecond = 2
	// maxVictims is the largest number of processes or links that one fault hits at
	// once.
	maxVictims = 3
)

// usualBehavior is how targets handle calls while no fault changes it: they refuse some, and
// write these refusals twice.
var usualBehavior = faketarget.Behavior{RefusePercent: 10, RepeatRefusals: true}

// fault is a kind of fault.
type fault struct {
	name string
	// candidates returns the names of the processes or links that the fault may hit.
	candidates func(*soak) []string
	// begin and end begin and end the fault on one of them.
	begin func(*soak, string) error
	end   func(*soak, string) error
}

// faults returns all kinds of faults.
func faults() []fault {
	setFault := func(f faulter.Fault) func(*soak, string) error {
		return func(s *soak, link string) error {
			return s.onLinks(link, func(p *faulter.Proxy) { p.Set(f) })
		}
	}
	heal := setFault(faulter.Fault{})
	cut := func(s *soak, link string) error { return s.onLinks(link, (*faulter.Proxy).Cut) }
	strand := func(s *soak, link string) error { return s.onLinks(link, (*faulter.Proxy).SilenceOpenConns) }
	kill := func(s *soak, name string) error { return s.fleet.Kill(name) }
	restart := func(s *soak, name string) error { return s.fleet.Restart(name) }
	freeze := func(s *soak, name string) error { return ignoreEnded(s.fleet.Freeze(name)) }
	thaw := func(s *soak, name string) error { return ignoreEnded(s.fleet.Thaw(name)) }
	stop := func(s *soak, name string) error { return ignoreEnded(s.fleet.Stop(name)) }
	reset := func(s *soak, link string) error { return s.onLinks(link, (*faulter.Proxy).Reset) }
	limit := func(s *soak, name string) error {
		b := usualBehavior
		b.CallsPerSecond = soakCallsPerSecond
		return s.behave(name, b)
	}
	unlimit := func(s *soak, name string) error { return s.behave(name, usualBehavior) }
	reload := func(s *soak, name string) error { return ignoreEnded(s.fleet.Reload(name)) }
	return []fault{
		{"kill daemon", daemonNames, kill, restart},
		{"kill target", targetNames, kill, restart},
		{"freeze daemon", daemonNames, freeze, thaw},
		{"freeze target", targetNames, freeze, thaw},
		{"stop daemon", daemonNames, stop, restart},
		{"cut link", allLinks, cut, heal},
		{"silence link", allLinks, setFault(faulter.Fault{Silence: faulter.Both}), heal},
		{"silence answers", allLinks, setFault(faulter.Fault{Silence: faulter.Downstream}), heal},
		{"silence requests", allLinks, setFault(faulter.Fault{Silence: faulter.Upstream}), heal},
		{"reset link", allLinks, reset, heal},
		{"narrow link", allLinks, setFault(faulter.Fault{BytesPerSecond: narrowBytesPerSecond}), heal},
		{"limit target", targetNames, limit, unlimit},
		{"reload daemon", daemonNames, reload, reload},
		{"strand link", allLinks, strand, heal},
		{"delay link", allLinks, setFault(faulter.Fault{Delay: 50 * time.Millisecond}), heal},
		{"lose store answers", storeLinks, setFault(faulter.Fault{LoseAnswersTo: "PUT /v1/kv/"}), heal},
		{"store outage", allStoreLinksTogether, cut, heal},
	}
}

// ignoreEnded returns err unless it says that the process has ended: a deadly call may end a
// target at any time, and another fault that has begun may have killed the process.
func ignoreEnded(err error) error {
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// behave sets the behavior of a target. One that doesn't answer keeps its behavior.
func (s *soak) behave(name string, b faketarget.Behavior) error {
	t, err := s.fleet.Target(name)
	if err != nil {
		return err
	}
	body, err := json.Marshal(b)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, t.URL+faketarget.BehaviorPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.logf("%s keeps its behavior: %v", name, err)
		return nil
	}
	res.Body.Close()
	return nil
}

func daemonNames(s *soak) []string {
	var names []string
	for _, d := range s.fleet.Daemons() {
		names = append(names, d.Name)
	}
	return names
}

func targetNames(s *soak) []string {
	var names []string
	for _, t := range s.fleet.Targets() {
		names = append(names, t.Name)
	}
	return names
}

func allLinks(s *soak) []string { return s.fleet.Links() }

func storeLinks(s *soak) []string {
	var names []string
	for _, name := range s.fleet.Links() {
		if strings.HasSuffix(name, ":store") {
			names = append(names, name)
		}
	}
	return names
}

// allStoreLinksTogether returns one candidate, allStoreLinks, so that a fault hits
// all links to the store at once.
func allStoreLinksTogether(*soak) []string { return []string{allStoreLinks} }

// allStoreLinks is the name under which onLinks addresses all links to the store.
const allStoreLinks = "*:store"

// onLinks calls do for the proxy of the named link, or for those of all links to
// the store if name is allStoreLinks.
func (s *soak) onLinks(name string, do func(*faulter.Proxy)) error {
	names := []string{name}
	if name == allStoreLinks {
		names = storeLinks(s)
	}
	for _, name := range names {
		p, err := s.fleet.Link(name)
		if err != nil {
			return err
		}
		do(p)
	}
	return nil
}

// injectFaults runs one random fault after the other until activeCtx ends.
// Injectors run concurrently. No two faults claim the same name, but allStoreLinks
// is a name of its own, so a store outage may overlap a fault on a single link to
// the store.
func (s *soak) injectFaults(ctx, activeCtx context.Context, random *rand.Rand) error {
	kinds := faults()
	for sleeper.Sleep(activeCtx, time.Duration(random.Int64N(int64(maxPause)))) == nil {
		f := kinds[random.IntN(len(kinds))]
		drawn := drawVictims(random, f.candidates(s))
		hold := time.Duration(random.Int64N(int64(maxFaultDuration)))
		victims := s.claim(drawn)
		if len(victims) == 0 {
			continue
		}
		s.logf("%s: %s for %s", f.name, strings.Join(victims, " "), hold.Round(time.Millisecond))
		err := s.runFault(ctx, f, victims, hold)
		s.release(victims)
		if err != nil {
			return err
		}
	}
	return nil
}

// runFault begins a fault on each victim and ends it after the duration hold.
func (s *soak) runFault(ctx context.Context, f fault, victims []string, hold time.Duration) error {
	s.mu.Lock()
	s.result.Faults[f.name]++
	s.mu.Unlock()
	for _, victim := range victims {
		s.pollDaemon(ctx, victim)
		if err := f.begin(s, victim); err != nil {
			return err
		}
	}
	_ = sleeper.Sleep(ctx, hold)
	for _, victim := range victims {
		if err := f.end(s, victim); err != nil {
			return err
		}
	}
	return nil
}

// claim marks the names that no other fault has claimed and returns them.
func (s *soak) claim(names []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var claimed []string
	for _, name := range names {
		if !s.claimed[name] {
			s.claimed[name] = true
			claimed = append(claimed, name)
		}
	}
	return claimed
}

// release withdraws the claim to the names.
func (s *soak) release(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		delete(s.claimed, name)
	}
}

// pollDaemon records the versions that a victim has put in force, if it is a
// daemon. It is called before the fault, because a daemon that is killed or
// stopped loses this history.
func (s *soak) pollDaemon(ctx context.Context, victim string) {
	if d, err := s.fleet.Daemon(victim); err == nil {
		s.recorder.PollDaemon(ctx, victim, d.OperatorURL)
	}
}

// drawVictims returns up to maxVictims random elements of names. It reorders
// names.
func drawVictims(random *rand.Rand, names []string) []string {
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), 1+random.IntN(maxVictims))]
}

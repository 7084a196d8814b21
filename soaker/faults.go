package soaker

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"bambooweir.example/bambooweir/faulter"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	longestPause = 800 * time.Millisecond
	longestFault = 4 * time.Second
	// narrowBytes is the bandwidth of a link that is narrow for a while, in bytes a
	// second: a tenth of a link of 5 Mbit/s.
	narrowBytes = 64 << 10
	// maxTogether is the largest number of things that one fault hits at once.
	maxTogether = 3
)

// fault is a kind of fault: how it begins and how it ends.
type fault struct {
	name string
	// pick returns what the fault may hit.
	pick  func(*soak) []string
	begin func(*soak, string) error
	end   func(*soak, string) error
}

func faults() []fault {
	setFault := func(f faulter.Fault) func(*soak, string) error {
		return func(s *soak, link string) error {
			return s.onLink(link, func(p *faulter.Proxy) { p.Set(f) })
		}
	}
	heal := setFault(faulter.Fault{})
	cut := func(s *soak, link string) error { return s.onLink(link, (*faulter.Proxy).Cut) }
	strand := func(s *soak, link string) error { return s.onLink(link, (*faulter.Proxy).SilenceOpenConns) }
	kill := func(s *soak, name string) error { return s.fleet.Kill(name) }
	restart := func(s *soak, name string) error { return s.fleet.Restart(name) }
	freeze := func(s *soak, name string) error { return s.fleet.Freeze(name) }
	thaw := func(s *soak, name string) error { return s.fleet.Thaw(name) }
	stop := func(s *soak, name string) error { return s.fleet.Stop(name) }
	reset := func(s *soak, link string) error { return s.onLink(link, (*faulter.Proxy).Reset) }
	reload := func(s *soak, name string) error { return s.fleet.Reload(name) }
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
		{"narrow link", allLinks, setFault(faulter.Fault{BytesPerSecond: narrowBytes}), heal},
		{"reload daemon", daemonNames, reload, reload},
		{"strand link", allLinks, strand, heal},
		{"delay link", allLinks, setFault(faulter.Fault{Delay: 50 * time.Millisecond}), heal},
		{"lose store answers", storeLinks, setFault(faulter.Fault{LoseAnswersTo: "PUT /v1/kv/"}), heal},
		{"store outage", wholeStore, cut, heal},
	}
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

// wholeStore stands for all links to the store at once.
func wholeStore(*soak) []string { return []string{allStoreLinks} }

const allStoreLinks = "*:store"

func (s *soak) onLink(name string, do func(*faulter.Proxy)) error {
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

// injectFaults begins and ends one drawn fault after the other until faulty
// ends. Several may run at once; no two hit the same process or link.
func (s *soak) injectFaults(ctx, faulty context.Context, random *rand.Rand) error {
	kinds := faults()
	for sleeper.Sleep(faulty, time.Duration(random.Int64N(int64(longestPause)))) == nil {
		f := kinds[random.IntN(len(kinds))]
		drawn := drawVictims(random, f.pick(s))
		hold := time.Duration(random.Int64N(int64(longestFault)))
		victims := s.claim(drawn)
		if len(victims) == 0 {
			continue
		}
		s.say("%s: %s for %s", f.name, strings.Join(victims, " "), hold.Round(time.Millisecond))
		err := s.inject(ctx, f, victims, hold)
		s.release(victims)
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) inject(ctx context.Context, f fault, victims []string, hold time.Duration) error {
	s.mu.Lock()
	s.result.Faults[f.name]++
	s.mu.Unlock()
	for _, victim := range victims {
		s.pollBefore(ctx, victim)
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

// claim returns those of the names that no other fault hits.
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

func (s *soak) release(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		delete(s.claimed, name)
	}
}

// pollBefore records what a daemon has put in force before it may forget it.
func (s *soak) pollBefore(ctx context.Context, victim string) {
	if d, err := s.fleet.Daemon(victim); err == nil {
		s.recorder.PollDaemon(ctx, victim, d.OperatorURL)
	}
}

func drawVictims(random *rand.Rand, names []string) []string {
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), 1+random.IntN(maxTogether))]
}

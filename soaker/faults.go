package soaker

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"bambooweir.example/bambooweir/faulter"
)

const (
	longestPause = 800 * time.Millisecond
	longestFault = 4 * time.Second
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
	strand := func(s *soak, link string) error { return s.onLink(link, (*faulter.Proxy).Strand) }
	kill := func(s *soak, name string) error { return s.fleet.Kill(name) }
	restart := func(s *soak, name string) error { return s.fleet.Restart(name) }
	freeze := func(s *soak, name string) error { return s.fleet.Freeze(name) }
	thaw := func(s *soak, name string) error { return s.fleet.Thaw(name) }
	stop := func(s *soak, name string) error { return s.fleet.Stop(name) }
	return []fault{
		{"kill daemon", daemonNames, kill, restart},
		{"kill target", targetNames, kill, restart},
		{"freeze daemon", daemonNames, freeze, thaw},
		{"freeze target", targetNames, freeze, thaw},
		{"stop daemon", daemonNames, stop, restart},
		{"cut link", allLinks, cut, heal},
		{"silence link", allLinks, setFault(faulter.Fault{Silence: faulter.Both}), heal},
		{"silence answers", allLinks, setFault(faulter.Fault{Silence: faulter.Downstream}), heal},
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
func wholeStore(*soak) []string { return []string{"*:store"} }

func (s *soak) onLink(name string, do func(*faulter.Proxy)) error {
	names := []string{name}
	if name == "*:store" {
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

// injectFaults begins and ends one drawn fault after the other until faulty ends.
func (s *soak) injectFaults(ctx, faulty context.Context, random *rand.Rand) error {
	kinds := faults()
	for pause(faulty, time.Duration(random.Int64N(int64(longestPause)))) == nil {
		f := kinds[random.IntN(len(kinds))]
		victims := drawVictims(random, f.pick(s))
		hold := time.Duration(random.Int64N(int64(longestFault)))
		s.say("%s: %s for %s", f.name, strings.Join(victims, " "), hold.Round(time.Millisecond))
		s.result.Faults[f.name]++
		for _, victim := range victims {
			s.pollBefore(ctx, victim)
			if err := f.begin(s, victim); err != nil {
				return err
			}
		}
		_ = pause(ctx, hold)
		for _, victim := range victims {
			if err := f.end(s, victim); err != nil {
				return err
			}
		}
	}
	return nil
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

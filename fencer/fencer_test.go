package fencer

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/messenger"
)

// model is the reference for a Fencer. It records every call without bounds.
type model struct {
	f     *Fencer
	links []uint64
	// linkOf holds the link over which each call is sent; all later requests for the
	// call use the same link.
	linkOf map[messenger.CallID]uint64
	// begun counts how often each call began.
	begun map[messenger.CallID]int
	// neverBegins holds the calls that were reported never to begin.
	neverBegins map[messenger.CallID]bool
	closed      map[uint64]bool
	// unacknowledged holds the calls that have begun and were not acknowledged.
	unacknowledged map[messenger.CallID]bool
}

// anyCall draws one of eight calls, and on first use the link it is sent over.
func (m *model) anyCall(t *rapid.T) messenger.CallID {
	id := messenger.CallID{rapid.Byte().Draw(t, "call") % 8}
	if _, ok := m.linkOf[id]; !ok {
		m.linkOf[id] = rapid.SampledFrom(m.links).Draw(t, "link")
	}
	return id
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"open": func(*rapid.T) { m.links = append(m.links, m.f.Open()) },
		"close": func(t *rapid.T) {
			link := rapid.SampledFrom(m.links).Draw(t, "link")
			m.f.Close(link)
			m.closed[link] = true
		},
		"accept": func(t *rapid.T) {
			id := m.anyCall(t)
			err := m.f.Accept(id, m.linkOf[id], uint64(id[0])+1)
			if err == nil && m.closed[m.linkOf[id]] {
				t.Fatalf("call %s was accepted from a closed link", id)
			}
		},
		"begin": func(t *rapid.T) {
			id := m.anyCall(t)
			if !m.f.Begin(id) {
				return
			}
			m.begun[id]++
			m.unacknowledged[id] = true
			if m.neverBegins[id] {
				t.Fatalf("call %s began after it was reported never to begin", id)
			}
		},
		"discard": func(t *rapid.T) { m.f.Discard(m.anyCall(t)) },
		"finish": func(t *rapid.T) {
			id := m.anyCall(t)
			m.f.Finish(id, &messenger.Answer{ID: id})
		},
		"acknowledge": func(t *rapid.T) {
			id := m.anyCall(t)
			if _, ok := m.f.Answer(id); ok {
				m.f.Acknowledge([]messenger.CallID{id})
				delete(m.unacknowledged, id)
			}
		},
		"cancel": func(t *rapid.T) {
			id := m.anyCall(t)
			if m.f.Cancel(id) == VerdictNeverBegins {
				m.recordNeverBegins(t, id)
			}
		},
		"reattach": func(t *rapid.T) {
			id := m.anyCall(t)
			verdict, done := m.f.Reattach(id, m.linkOf[id])
			m.closed[m.linkOf[id]] = true
			switch verdict {
			case VerdictNeverBegins:
				m.recordNeverBegins(t, id)
			case VerdictPending, VerdictFinished:
				if done == nil || m.begun[id] == 0 {
					t.Fatalf("call %s has verdict %d, but it never began or the channel is nil", id, verdict)
				}
			}
		},
		"expire": func(*rapid.T) {
			m.f.mu.Lock()
			defer m.f.mu.Unlock()
			m.f.expire(time.Now().Add(2 * m.f.Retention))
		},
	}
}

// recordNeverBegins records that a call was reported never to begin, and fails if
// the call has begun. It ignores calls whose answers were acknowledged, because
// the sender of such a call doesn't ask for it again.
func (m *model) recordNeverBegins(t *rapid.T, id messenger.CallID) {
	m.neverBegins[id] = true
	if m.unacknowledged[id] {
		t.Fatalf("call %s began, but was reported never to begin", id)
	}
}

// check checks the invariants after each action: no call begins twice, and the
// table stays within MaxCalls.
func (m *model) check(t *rapid.T) {
	for id, n := range m.begun {
		if n > 1 {
			t.Fatalf("call %s began %d times", id, n)
		}
	}
	if got, want := m.f.Len(), 4; got > want {
		t.Fatalf("table holds %d calls, want at most %d", got, want)
	}
}

// TestFencerStateMachine runs random sequences of operations against the model: a
// call must not begin twice, nor after Reattach or Cancel returned
// VerdictNeverBegins for it.
func TestFencerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			f: &Fencer{MaxCalls: 4, Retention: time.Minute}, linkOf: make(map[messenger.CallID]uint64),
			begun: make(map[messenger.CallID]int), neverBegins: make(map[messenger.CallID]bool),
			closed: make(map[uint64]bool), unacknowledged: make(map[messenger.CallID]bool),
		}
		m.links = append(m.links, m.f.Open())
		actions := m.actions()
		actions[""] = m.check
		t.Repeat(actions)
	})
}

// TestFullTableRefusesAndForgetsNothing guards against a full table that evicts an
// unacknowledged answer to make room for a new call.
func TestFullTableRefusesAndForgetsNothing(t *testing.T) {
	f := &Fencer{MaxCalls: 1}
	link := f.Open()
	first, second := messenger.CallID{1}, messenger.CallID{2}
	if err := f.Accept(first, link, 1); err != nil {
		t.Fatal(err)
	}
	f.Begin(first)
	f.Finish(first, &messenger.Answer{ID: first, Body: []byte("whole")})
	var full *FullError
	if err := f.Accept(second, link, uint64(2+f.Len())); !errors.As(err, &full) {
		t.Errorf("second call: got %v, want a *FullError", err)
	}
	if answer, ok := f.Answer(first); !ok || string(answer.Body) != "whole" {
		t.Errorf("first call: got %v, %v, want its answer", answer, ok)
	}
	f.Acknowledge([]messenger.CallID{first})
	if err := f.Accept(second, link, uint64(2+f.Len())); err != nil {
		t.Errorf("second call: got %v, want none", err)
	}
}

// TestForgottenCallIsUnknown guards against reporting a call as never begun that
// has run: the table has discarded its answer, so it has no entry any more.
func TestForgottenCallIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Fencer{Retention: time.Minute}
		link := f.Open()
		id := messenger.CallID{1}
		if err := f.Accept(id, link, uint64(id[0])); err != nil {
			t.Fatal(err)
		}
		f.Begin(id)
		f.Finish(id, &messenger.Answer{ID: id})
		time.Sleep(2 * time.Minute)
		if err := f.Accept(messenger.CallID{2}, f.Open(), 1); err != nil {
			t.Fatal(err)
		}
		if got, _ := f.Reattach(id, link); got != VerdictUnknown {
			t.Errorf("verdict: got %d, want %d", got, VerdictUnknown)
		}
	})
}

func ExampleFencer() {
	var f Fencer
	link := f.Open()
	running, waiting := messenger.CallID{1}, messenger.CallID{2}
	for _, id := range []messenger.CallID{running, waiting} {
		if err := f.Accept(id, link, uint64(id[0])); err != nil {
			fmt.Println(err)
		}
	}
	fmt.Println("begins:", f.Begin(running))

	// The link is lost, and the entry daemon asks for its calls over a new link.
	verdict, _ := f.Reattach(running, link)
	fmt.Println("pending:", verdict == VerdictPending)
	verdict, _ = f.Reattach(waiting, link)
	fmt.Println("never begins:", verdict == VerdictNeverBegins)
	fmt.Println("begins:", f.Begin(waiting))
	// Output:
	// begins: true
	// pending: true
	// never begins: true
	// begins: false
}

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

// model is what a Fencer must agree with, kept without bounds.
type model struct {
	f     *Fencer
	links []uint64
	// sent holds the link over which each call was sent, over which nothing else is.
	sent   map[messenger.CallID]uint64
	begun  map[messenger.CallID]int
	never  map[messenger.CallID]bool
	closed map[uint64]bool
	// known holds the calls that have begun and were not acknowledged.
	known map[messenger.CallID]bool
}

func (m *model) anyCall(t *rapid.T) messenger.CallID {
	id := messenger.CallID{rapid.Byte().Draw(t, "call") % 8}
	if _, ok := m.sent[id]; !ok {
		m.sent[id] = rapid.SampledFrom(m.links).Draw(t, "link")
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
			err := m.f.Accept(id, m.sent[id], uint64(id[0])+1)
			if err == nil && m.closed[m.sent[id]] {
				t.Fatalf("call %s was accepted from a closed link", id)
			}
		},
		"begin": func(t *rapid.T) {
			id := m.anyCall(t)
			if !m.f.Begin(id) {
				return
			}
			m.begun[id]++
			m.known[id] = true
			if m.never[id] {
				t.Fatalf("call %s began after it was said never to", id)
			}
		},
		"refuse": func(t *rapid.T) { m.f.Discard(m.anyCall(t)) },
		"finish": func(t *rapid.T) {
			id := m.anyCall(t)
			m.f.Finish(id, &messenger.Answer{ID: id})
		},
		"acknowledge": func(t *rapid.T) {
			id := m.anyCall(t)
			if _, ok := m.f.Answer(id); ok {
				m.f.Acknowledge([]messenger.CallID{id})
				delete(m.known, id)
			}
		},
		"cancel": func(t *rapid.T) {
			id := m.anyCall(t)
			if m.f.Cancel(id) == VerdictNeverBegins {
				m.tell(t, id)
			}
		},
		"reattach": func(t *rapid.T) {
			id := m.anyCall(t)
			verdict, done := m.f.Reattach(id, m.sent[id])
			m.closed[m.sent[id]] = true
			switch verdict {
			case VerdictNeverBegins:
				m.tell(t, id)
			case VerdictPending, VerdictFinished:
				if done == nil || m.begun[id] == 0 {
					t.Fatalf("call %s has verdict %d and never began", id, verdict)
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

// tell takes in that a call was said never to begin. Its sender may then say
// so, unless it has acknowledged the call's answer and so doesn't ask.
func (m *model) tell(t *rapid.T, id messenger.CallID) {
	m.never[id] = true
	if m.known[id] {
		t.Fatalf("call %s began and was said never to", id)
	}
}

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

func TestFencerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			f: &Fencer{MaxCalls: 4, Retention: time.Minute}, sent: make(map[messenger.CallID]uint64),
			begun: make(map[messenger.CallID]int), never: make(map[messenger.CallID]bool),
			closed: make(map[uint64]bool), known: make(map[messenger.CallID]bool),
		}
		m.links = append(m.links, m.f.Open())
		actions := m.actions()
		actions[""] = m.check
		t.Repeat(actions)
	})
}

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

	// The link is lost; the entry daemon asks over a new one.
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

// Package fencer keeps what a target's daemon knows of the calls that other
// daemons sent it, so that a call whose link was lost is either found or kept
// from ever beginning.
//
// A call is accepted when it is read from its link, begins just before it is
// written to the target, and is finished when its answer is known. A call that
// is fenced before it begins is dropped, and its Begin fails. All of this is
// decided under one mutex, so there is no moment between check and write.
package fencer

import (
	"cmp"
	"container/list"
	"expvar"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// Limits that hold where a Fencer sets none.
const (
	DefaultMaxCalls  = 8192
	DefaultMaxBytes  = 64 << 20
	DefaultRetention = 2 * time.Minute
)

// callOverheadBytes is what one call costs beside its answer's body.
const callOverheadBytes = 512

// FullError reports that no further call can be remembered.
type FullError struct{ Calls, Bytes int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("table of calls is full: %d calls, %d bytes", e.Calls, e.Bytes)
}

// LinkEndedError reports a call from a link that nothing may begin from any more.
type LinkEndedError struct{ Link uint64 }

// Error implements error.
func (e *LinkEndedError) Error() string { return fmt.Sprintf("link %d has ended", e.Link) }

// DuplicateError reports a call that has been accepted before.
type DuplicateError struct{ ID messenger.CallID }

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("call %s came twice", e.ID) }

// Verdict is what is known of a call.
type Verdict uint8

// The verdicts.
const (
	// VerdictUnknown means that the call may have run, and its answer is forgotten.
	VerdictUnknown Verdict = iota
	// VerdictNeverBegins means that the call has not begun and never will.
	VerdictNeverBegins
	// VerdictPending means that the call has begun and has no answer yet.
	VerdictPending
	// VerdictFinished means that the call's answer is at hand.
	VerdictFinished
)

type state uint8

const (
	stateAccepted state = iota
	stateBegun
	stateFinished
)

// Counters count what a Fencer decided.
type Counters struct {
	// Accepted, Begun and Finished count calls by how far they came.
	Accepted, Begun, Finished expvar.Int
	// Fenced counts calls that will never begin, Duplicates those that came twice,
	// Full those refused by a full table, Forgotten answers that nobody fetched.
	Fenced, Duplicates, Full, Forgotten expvar.Int
}

// call is what is kept of one call.
type call struct {
	id    messenger.CallID
	link  uint64
	state state
	// answer is set once the state is stateFinished, then done is closed.
	answer *messenger.Answer
	done   chan struct{}
	// finished is when the call became stateFinished.
	finished time.Time
}

// link is one open call link.
type link struct {
	// ended says that no further call is accepted from the link.
	ended  bool
	window window
}

func (c *call) bytes() int {
	if c.answer == nil {
		return callOverheadBytes
	}
	return callOverheadBytes + len(c.answer.Body)
}

// Fencer is the table of one target's daemon. The zero value works.
//
// Invariant: a call begins at most once, even if it is delivered again, and
// never after a Reattach or Cancel of it gave VerdictNeverBegins. A call that has begun is
// remembered until its answer was acknowledged; if it has to be forgotten
// before, the calls of its link and of older links are VerdictUnknown from then on.
type Fencer struct {
	// MaxCalls and MaxBytes bound the table. A call that doesn't fit is refused
	// before it begins; none is forgotten for it.
	MaxCalls, MaxBytes int
	// Retention is how long an unacknowledged answer is kept.
	Retention time.Duration
	Counters  Counters

	mu    sync.Mutex
	calls map[messenger.CallID]*call
	links map[uint64]*link
	// firstLink is below the number of every link, and random, so that links of
	// another process are told apart even where its incarnation is the same.
	firstLink, lastLink uint64
	// finished holds the finished calls, the oldest first.
	finished list.List
	position map[messenger.CallID]*list.Element
	bytes    int
	// forgotten is the highest link of which an unacknowledged answer was forgotten.
	forgotten uint64
}

// Open numbers a new link.
func (f *Fencer) Open() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.lastLink++
	f.links[f.lastLink] = new(link)
	return f.lastLink
}

// Close says that nothing will be read from the link any more. Calls accepted
// from it still run.
func (f *Fencer) Close(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, number)
}

// Accept takes in a call that was read from an open link. Sequence numbers the
// calls of the link from 1. It fails with a *FullError, *LinkEndedError or
// *DuplicateError.
func (f *Fencer) Accept(id messenger.CallID, number, sequence uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	l, ok := f.links[number]
	if !ok || l.ended {
		return &LinkEndedError{Link: number}
	}
	if _, ok := f.calls[id]; ok || !l.window.take(sequence) {
		f.Counters.Duplicates.Add(1)
		return &DuplicateError{ID: id}
	}
	f.expire(time.Now())
	if len(f.calls) >= cmp.Or(f.MaxCalls, DefaultMaxCalls) || f.bytes >= cmp.Or(f.MaxBytes, DefaultMaxBytes) {
		f.Counters.Full.Add(1)
		return &FullError{Calls: len(f.calls), Bytes: f.bytes}
	}
	c := &call{id: id, link: number, done: make(chan struct{})}
	f.calls[id] = c
	f.bytes += c.bytes()
	f.Counters.Accepted.Add(1)
	return nil
}

// Begin says whether the call may be written to the target now. It is false
// when the call was fenced, or has begun before.
func (f *Fencer) Begin(id messenger.CallID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.calls[id]
	if !ok || c.state != stateAccepted {
		return false
	}
	c.state = stateBegun
	f.Counters.Begun.Add(1)
	return true
}

// Discard drops a call that will not begin.
func (f *Fencer) Discard(id messenger.CallID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.calls[id]; ok && c.state == stateAccepted {
		f.drop(c)
	}
}

// Finish keeps the answer of a call that has begun.
func (f *Fencer) Finish(id messenger.CallID, answer *messenger.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.calls[id]
	if !ok || c.state != stateBegun {
		return
	}
	f.bytes -= c.bytes()
	c.state = stateFinished
	c.answer = answer
	c.finished = time.Now()
	close(c.done)
	f.bytes += c.bytes()
	f.position[id] = f.finished.PushBack(c)
	f.Counters.Finished.Add(1)
}

// Acknowledge forgets finished calls whose answers the entry daemon has received.
func (f *Fencer) Acknowledge(ids []messenger.CallID) {
	if len(ids) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if c, ok := f.calls[id]; ok && c.state == stateFinished {
			f.drop(c)
		}
	}
}

// Cancel fences the call if it has not begun.
func (f *Fencer) Cancel(id messenger.CallID) Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.calls[id]
	if !ok {
		return VerdictUnknown
	}
	switch c.state {
	case stateAccepted:
		f.drop(c)
		f.Counters.Fenced.Add(1)
		return VerdictNeverBegins
	case stateBegun:
		return VerdictPending
	default:
		return VerdictFinished
	}
}

// Reattach ends the link for calls that have not been read from it yet, and
// says what is known of a call that was sent over it: one that has not begun
// never will. The answer is valid once the returned channel is closed.
func (f *Fencer) Reattach(id messenger.CallID, number uint64) (Verdict, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if l, ok := f.links[number]; ok {
		l.ended = true
	}
	c, ok := f.calls[id]
	switch {
	case !ok && (number <= f.forgotten || number <= f.firstLink || number > f.lastLink):
		return VerdictUnknown, nil
	case !ok:
		f.Counters.Fenced.Add(1)
		return VerdictNeverBegins, nil
	case c.state == stateAccepted:
		f.drop(c)
		f.Counters.Fenced.Add(1)
		return VerdictNeverBegins, nil
	case c.state == stateBegun:
		return VerdictPending, c.done
	default:
		return VerdictFinished, c.done
	}
}

// Answer returns the answer of a finished call that is still remembered.
func (f *Fencer) Answer(id messenger.CallID) (*messenger.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.calls[id]
	if !ok || c.state != stateFinished {
		return nil, false
	}
	return c.answer, true
}

// Len returns the number of calls in the table.
func (f *Fencer) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func (f *Fencer) init() {
	if f.calls != nil {
		return
	}
	f.firstLink = rand.Uint64() >> 1
	f.lastLink = f.firstLink
	f.calls = make(map[messenger.CallID]*call)
	f.position = make(map[messenger.CallID]*list.Element)
	f.links = make(map[uint64]*link)
}

// expire forgets answers that nobody acknowledged in time. The caller holds mu.
func (f *Fencer) expire(now time.Time) {
	retention := cmp.Or(f.Retention, DefaultRetention)
	for e := f.finished.Front(); e != nil; e = f.finished.Front() {
		c := e.Value.(*call)
		if now.Sub(c.finished) < retention {
			return
		}
		f.forgotten = max(f.forgotten, c.link)
		f.drop(c)
		f.Counters.Forgotten.Add(1)
	}
}

// drop removes a call. The caller holds mu.
func (f *Fencer) drop(c *call) {
	delete(f.calls, c.id)
	f.bytes -= c.bytes()
	if e, ok := f.position[c.id]; ok {
		f.finished.Remove(e)
		delete(f.position, c.id)
	}
}

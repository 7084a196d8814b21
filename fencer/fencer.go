// Package fencer records, on a target's daemon, the calls and idempotency keys
// that the daemon received from other daemons. After the link of a call is lost,
// its sender can find out how far the call came; a call that has not begun by
// then is kept from ever beginning.
//
// A call is accepted when it is read from its link, begins just before it is
// written to the target, and is finished when its answer is known. A call that
// is fenced before it begins is removed from the table, and Begin returns false
// for it. One mutex guards every decision, so that no other operation can come
// between a check and the change that depends on it.
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

// Defaults for the limits of a Fencer that are zero.
const (
	DefaultMaxCalls  = 8192
	DefaultMaxBytes  = 64 << 20
	DefaultRetention = 2 * time.Minute
)

// callOverheadBytes is the size that an entry of a table counts, in addition to
// the body of its answer.
const callOverheadBytes = 512

// FullError reports that a table has no room for another call or key. It states
// the number and the size of the table's entries.
type FullError struct{ Entries, Bytes int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("table is full: %d entries, %d bytes", e.Entries, e.Bytes)
}

// LinkEndedError reports a call from a link that is not open: it was closed, or
// ended by Reattach.
type LinkEndedError struct{ Link uint64 }

// Error implements error.
func (e *LinkEndedError) Error() string { return fmt.Sprintf("link %d has ended", e.Link) }

// DuplicateError reports a call whose id is in the table, or whose sequence
// number was received before or is too old to be checked.
type DuplicateError struct{ ID messenger.CallID }

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("call %s was received before", e.ID) }

// Verdict is what the table knows of a call.
type Verdict uint8

// The verdicts.
const (
	// VerdictUnknown means that the call may have run, and that its answer is no
	// longer kept.
	VerdictUnknown Verdict = iota
	// VerdictNeverBegins means that the call has not begun and never will.
	VerdictNeverBegins
	// VerdictPending means that the call has begun and has no answer yet.
	VerdictPending
	// VerdictFinished means that the call has ended and its answer is kept.
	VerdictFinished
)

// state is how far a call has come, in the terms of the package comment.
type state uint8

const (
	stateAccepted state = iota
	stateBegun
	stateFinished
)

// Counters count the decisions of a Fencer.
type Counters struct {
	// Accepted, Begun and Finished count the calls that reached that state.
	Accepted, Begun, Finished expvar.Int
	// Fenced counts calls that were kept from beginning, Duplicates calls that were
	// received before, Full calls refused because the table was full, and Forgotten
	// answers that were discarded unacknowledged after their retention.
	Fenced, Duplicates, Full, Forgotten expvar.Int
}

// call is the entry of one call.
type call struct {
	id    messenger.CallID
	link  uint64
	state state
	// answer is set when the state becomes stateFinished; done is then closed.
	answer *messenger.Answer
	done   chan struct{}
	// finishedAt is the time at which the state became stateFinished.
	finishedAt time.Time
}

// link is one open call link.
type link struct {
	// ended is set by Reattach: no further call is accepted from the link.
	ended  bool
	window window
}

// bytes returns the size that the entry counts in the table.
func (c *call) bytes() int {
	if c.answer == nil {
		return callOverheadBytes
	}
	return callOverheadBytes + len(c.answer.Body)
}

// Fencer is the table of calls of one target's daemon. The zero value is ready
// to use. It is safe for concurrent use.
//
// Invariant: a call begins at most once, even if it is delivered again, and
// never after Reattach or Cancel returned VerdictNeverBegins for it. A call that
// has begun is kept until its answer is acknowledged. If the retention ends
// first, the answer is discarded, and Reattach then returns VerdictUnknown for
// every absent call of that link and of older links.
type Fencer struct {
	// MaxCalls and MaxBytes bound the table. Accept refuses a call that doesn't
	// fit, before it begins, and evicts no other call to make room.
	MaxCalls, MaxBytes int
	// Retention is the time for which an unacknowledged answer is kept.
	Retention time.Duration
	Counters  Counters

	mu    sync.Mutex
	calls map[messenger.CallID]*call
	links map[uint64]*link
	// linkBase is random and lower than the number of every link, so that Reattach
	// tells links of another process from its own, even if the incarnation of that
	// process is the same. lastLink is the number of the newest link.
	linkBase, lastLink uint64
	// finished holds the finished calls, oldest first; finishedElems finds the
	// element of a call.
	finished      list.List
	finishedElems map[messenger.CallID]*list.Element
	bytes         int
	// highestForgotten is the highest number of a link with an unacknowledged answer
	// that was discarded.
	highestForgotten uint64
}

// Open registers a new link and returns its number.
func (f *Fencer) Open() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.lastLink++
	f.links[f.lastLink] = new(link)
	return f.lastLink
}

// Close removes a link from which nothing more is read. The calls that were
// accepted from it still run.
func (f *Fencer) Close(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, number)
}

// Accept adds a call that was read from an open link to the table. The sequence
// numbers of a link's calls start at 1. Accept fails with a *FullError,
// *LinkEndedError or *DuplicateError.
func (f *Fencer) Accept(id messenger.CallID, number, sequence uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	l, ok := f.links[number]
	if !ok || l.ended {
		return &LinkEndedError{Link: number}
	}
	if _, ok := f.calls[id]; ok || !l.window.add(sequence) {
		f.Counters.Duplicates.Add(1)
		return &DuplicateError{ID: id}
	}
	f.expire(time.Now())
	if len(f.calls) >= cmp.Or(f.MaxCalls, DefaultMaxCalls) || f.bytes >= cmp.Or(f.MaxBytes, DefaultMaxBytes) {
		f.Counters.Full.Add(1)
		return &FullError{Entries: len(f.calls), Bytes: f.bytes}
	}
	c := &call{id: id, link: number, done: make(chan struct{})}
	f.calls[id] = c
	f.bytes += c.bytes()
	f.Counters.Accepted.Add(1)
	return nil
}

// Begin marks an accepted call as begun and reports whether the call may be
// written to the target. It returns false if the call was fenced or has begun
// before.
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

// Discard removes a call that was accepted and will not begin. It does nothing if
// the call has begun.
func (f *Fencer) Discard(id messenger.CallID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.calls[id]; ok && c.state == stateAccepted {
		f.drop(c)
	}
}

// Finish stores the answer of a call that has begun.
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
	c.finishedAt = time.Now()
	close(c.done)
	f.bytes += c.bytes()
	f.finishedElems[id] = f.finished.PushBack(c)
	f.Counters.Finished.Add(1)
}

// Acknowledge removes finished calls whose answers the entry daemon has received.
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

// Cancel fences the call if it has not begun, and returns what is known of it.
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

// Reattach returns what is known of a call that was sent over the given link, and
// fences the call if it has not begun. It also ends the link: calls that have not
// been read from it yet are no longer accepted. The returned channel is closed
// when the call is finished; Answer then returns its answer for as long as it is
// kept. The channel is nil for VerdictUnknown and VerdictNeverBegins.
func (f *Fencer) Reattach(id messenger.CallID, number uint64) (Verdict, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if l, ok := f.links[number]; ok {
		l.ended = true
	}
	c, ok := f.calls[id]
	switch {
	case !ok && (number <= f.highestForgotten || number <= f.linkBase || number > f.lastLink):
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

// Answer returns the answer of a finished call that is still in the table.
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

// init creates the maps on first use. The caller holds mu.
func (f *Fencer) init() {
	if f.calls != nil {
		return
	}
	f.linkBase = rand.Uint64() >> 1
	f.lastLink = f.linkBase
	f.calls = make(map[messenger.CallID]*call)
	f.finishedElems = make(map[messenger.CallID]*list.Element)
	f.links = make(map[uint64]*link)
}

// expire discards the answers that were not acknowledged within the retention.
// The caller holds mu.
func (f *Fencer) expire(now time.Time) {
	retention := cmp.Or(f.Retention, DefaultRetention)
	for e := f.finished.Front(); e != nil; e = f.finished.Front() {
		c := e.Value.(*call)
		if now.Sub(c.finishedAt) < retention {
			return
		}
		f.highestForgotten = max(f.highestForgotten, c.link)
		f.drop(c)
		f.Counters.Forgotten.Add(1)
	}
}

// drop removes a call from the table. The caller holds mu.
func (f *Fencer) drop(c *call) {
	delete(f.calls, c.id)
	f.bytes -= c.bytes()
	if e, ok := f.finishedElems[c.id]; ok {
		f.finished.Remove(e)
		delete(f.finishedElems, c.id)
	}
}

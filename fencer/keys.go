package fencer

import (
	"cmp"
	"container/list"
	"expvar"
	"fmt"
	"sync"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// Defaults for the limits of a KeyTable that are zero.
const (
	DefaultMaxKeys     = 16_384
	DefaultMaxKeyBytes = 32 << 20
)

// KeyReusedError reports a key that was used before with a different request.
type KeyReusedError struct{ Key messenger.KeyID }

// Error implements error.
func (e *KeyReusedError) Error() string { return "key was used for another request" }

// KeyHeldError reports a key that is reserved for another daemon, which may have run
// the key's call.
type KeyHeldError struct{ Holder messenger.Process }

// Error implements error.
func (e *KeyHeldError) Error() string {
	return fmt.Sprintf("key is held for instance %q", e.Holder.InstanceID)
}

// KeyCounters count the decisions of a KeyTable.
type KeyCounters struct {
	// Claimed counts idempotency keys claimed for a call, Repeated look-ups of a known
	// key, Held look-ups of a key that is held for another daemon, and Full keys that
	// were refused because the table was full.
	Claimed, Repeated, Held, Full expvar.Int
	// HandedOver counts idempotency keys handed over to other daemons, Taken those
	// taken from them.
	HandedOver, Taken expvar.Int
}

// keyEntry is the entry of one key.
type keyEntry struct {
	key     messenger.KeyID
	request messenger.RequestDigest
	// holder is the process that reserved the key, so that this daemon doesn't run
	// it; zero if there is none.
	holder messenger.Process
	// answer is set when the call ends; done is then closed.
	answer *messenger.Answer
	done   chan struct{}
	// storedAt is the time of the claim or reservation, or that of the answer once
	// there is one.
	storedAt time.Time
}

// isHeld reports whether the key is reserved for another process.
func (e *keyEntry) isHeld() bool { return e.holder.InstanceID != "" }

// bytes returns the size that the entry counts in the table.
func (e *keyEntry) bytes() int {
	if e.answer == nil {
		return callOverheadBytes
	}
	return callOverheadBytes + len(e.answer.Body)
}

// KeyTable is the table of idempotency keys of one target's daemon. The zero value is
// ready to use. It is safe for concurrent use.
//
// Invariant: only one claim of a key succeeds within the retention, unless the
// call of that claim is known not to have run. A key is kept until the retention
// has passed since its call ended; new keys are refused while the table is full.
type KeyTable struct {
	MaxKeys, MaxBytes int
	Counters          KeyCounters

	mu      sync.Mutex
	entries map[messenger.KeyID]*list.Element
	// order holds the entries, sorted by storedAt, oldest first.
	order list.List
	bytes int
}

// Lookup returns what is known of a key: the answer of its call, if the call has
// ended, and a channel that is closed when it ends. Both are nil for an unknown
// key. Lookup fails with a *KeyReusedError, or with a *KeyHeldError if the key is
// held for another daemon.
func (k *KeyTable) Lookup(key messenger.KeyID, request messenger.RequestDigest, retention time.Duration) (*messenger.Answer, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lookup(key, request, retention)
}

// lookup implements Lookup. The caller holds mu.
func (k *KeyTable) lookup(key messenger.KeyID, request messenger.RequestDigest, retention time.Duration) (*messenger.Answer, <-chan struct{}, error) {
	k.expire(retention)
	el, ok := k.entries[key]
	if !ok {
		return nil, nil, nil
	}
	e := el.Value.(*keyEntry)
	switch {
	case e.isHeld():
		k.Counters.Held.Add(1)
		return nil, nil, &KeyHeldError{Holder: e.holder}
	case e.request != request:
		return nil, nil, &KeyReusedError{Key: key}
	}
	k.Counters.Repeated.Add(1)
	return e.answer, e.done, nil
}

// Claim records the key for a call that is about to run, and reports whether it
// may run. If Claim returns false and no error, the call is a repeat, and Lookup
// returns what is known of the first call. A key that is held for another daemon
// can be claimed. Claim fails with a *FullError.
func (k *KeyTable) Claim(key messenger.KeyID, request messenger.RequestDigest) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if el, ok := k.entries[key]; ok {
		e := el.Value.(*keyEntry)
		if !e.isHeld() {
			return false, nil
		}
		k.drop(el)
	}
	if k.isFull() {
		k.Counters.Full.Add(1)
		return false, &FullError{Entries: len(k.entries), Bytes: k.bytes}
	}
	k.put(&keyEntry{key: key, request: request, done: make(chan struct{})})
	k.Counters.Claimed.Add(1)
	return true, nil
}

// Finish stores the answer of a key's call. If the outcome is that the call was
// not run, Finish removes the key, which can then be claimed again.
func (k *KeyTable) Finish(key messenger.KeyID, answer *messenger.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	el, ok := k.entries[key]
	if !ok {
		return
	}
	e := el.Value.(*keyEntry)
	if e.answer != nil || e.isHeld() {
		return
	}
	k.drop(el)
	if answer.Outcome != messenger.OutcomeNotRun {
		e.answer = answer
		k.put(e)
	}
	close(e.done)
}

// Hold reserves a key for the daemon that sends the query and is about to run the
// key, so that this daemon doesn't run it. It replaces an earlier reservation,
// and fails with a *FullError. For a key that this daemon has claimed, it returns
// the results of Lookup.
func (k *KeyTable) Hold(q *messenger.KeyQuery, retention time.Duration) (*messenger.Answer, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(retention)
	el, ok := k.entries[q.Key]
	if ok && !el.Value.(*keyEntry).isHeld() {
		return k.lookup(q.Key, q.Request, retention)
	}
	if ok {
		k.drop(el)
	}
	if k.isFull() {
		k.Counters.Full.Add(1)
		return nil, nil, &FullError{Entries: len(k.entries), Bytes: k.bytes}
	}
	k.put(&keyEntry{key: q.Key, request: q.Request, holder: messenger.Process{InstanceID: q.Asker, Incarnation: q.Incarnation}})
	return nil, nil, nil
}

// Records returns the keys whose calls have ended, with their answers.
func (k *KeyTable) Records(retention time.Duration) []messenger.KeyRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(retention)
	records := make([]messenger.KeyRecord, 0, len(k.entries))
	for el := k.order.Front(); el != nil; el = el.Next() {
		e := el.Value.(*keyEntry)
		if e.answer == nil {
			continue
		}
		records = append(records, messenger.KeyRecord{
			Key: e.key, Request: e.request, Answer: e.answer, AgeMS: time.Since(e.storedAt).Milliseconds(),
		})
	}
	return records
}

// Import adds the keys that another daemon hands over. They replace reservations,
// but not the keys that this daemon knows. Their calls count as ended now, so that
// they are kept for longer than the retention rather than shorter. Import fails with
// a *FullError at the first key that doesn't fit.
func (k *KeyTable) Import(records []messenger.KeyRecord) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		if el, ok := k.entries[r.Key]; ok {
			if !el.Value.(*keyEntry).isHeld() {
				continue
			}
			k.drop(el)
		}
		if k.isFull() {
			k.Counters.Full.Add(1)
			return &FullError{Entries: len(k.entries), Bytes: k.bytes}
		}
		done := make(chan struct{})
		close(done)
		k.put(&keyEntry{key: r.Key, request: r.Request, answer: r.Answer, done: done})
		k.Counters.Taken.Add(1)
	}
	return nil
}

// isFull reports whether the table has no room for another key. The caller holds mu.
func (k *KeyTable) isFull() bool {
	return len(k.entries) >= cmp.Or(k.MaxKeys, DefaultMaxKeys) || k.bytes >= cmp.Or(k.MaxBytes, DefaultMaxKeyBytes)
}

// put adds an entry as the newest one. The caller holds mu.
func (k *KeyTable) put(e *keyEntry) {
	if k.entries == nil {
		k.entries = make(map[messenger.KeyID]*list.Element)
	}
	e.storedAt = time.Now()
	k.entries[e.key] = k.order.PushBack(e)
	k.bytes += e.bytes()
}

// drop removes an entry. The caller holds mu.
func (k *KeyTable) drop(el *list.Element) {
	e := el.Value.(*keyEntry)
	delete(k.entries, e.key)
	k.order.Remove(el)
	k.bytes -= e.bytes()
}

// expire removes the entries that are older than the retention, except those of
// calls that are still running. The caller holds mu.
func (k *KeyTable) expire(retention time.Duration) {
	for el := k.order.Front(); el != nil; {
		next := el.Next()
		e := el.Value.(*keyEntry)
		if time.Since(e.storedAt) < retention {
			return
		}
		if e.answer != nil || e.isHeld() {
			k.drop(el)
		}
		el = next
	}
}

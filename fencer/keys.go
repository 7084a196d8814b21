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

// Limits that hold where a Keys sets none.
const (
	DefaultMaxKeys     = 16_384
	DefaultMaxKeyBytes = 32 << 20
)

// KeyReusedError reports a key that was used for another request.
type KeyReusedError struct{ Key messenger.KeyID }

// Error implements error.
func (e *KeyReusedError) Error() string { return "key was used for another request" }

// KeyHeldError reports a key that another daemon may be running.
type KeyHeldError struct{ Holder messenger.Process }

// Error implements error.
func (e *KeyHeldError) Error() string {
	return fmt.Sprintf("key is held for instance %q", e.Holder.InstanceID)
}

// KeyCounters count what a Keys decided.
type KeyCounters struct {
	Claimed, Repeated, Held, Full, HandedOver, Taken expvar.Int
}

type keyEntry struct {
	key     messenger.KeyID
	request messenger.RequestDigest
	// holder is the process for which the key is kept from running here, if any.
	holder messenger.Process
	// answer is set once the call has ended, then done is closed.
	answer *messenger.Answer
	done   chan struct{}
	at     time.Time
}

func (e *keyEntry) isHeld() bool { return e.holder.InstanceID != "" }

func (e *keyEntry) bytes() int {
	if e.answer == nil {
		return callOverheadBytes
	}
	return callOverheadBytes + len(e.answer.Body)
}

// KeyTable is the table of idempotency keys of one target's daemon. The zero value works.
//
// Invariant: within the retention one claim of a key succeeds, unless its call
// was proved not to have run. A key is not forgotten before its retention has
// passed since its call ended; when the table is full, new keys are refused.
type KeyTable struct {
	MaxKeys, MaxBytes int
	Counters          KeyCounters

	mu      sync.Mutex
	entries map[messenger.KeyID]*list.Element
	// order holds the entries, the one that was last touched longest ago first.
	order list.List
	bytes int
}

// Lookup returns the answer of a key's call, or a channel that is closed when
// there is one, or neither when the key is not known. It fails with an
// *OtherRequestError or, for a key that is held for another daemon, a *HeldError.
func (k *KeyTable) Lookup(key messenger.KeyID, request messenger.RequestDigest, retention time.Duration) (*messenger.Answer, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.look(key, request, retention)
}

func (k *KeyTable) look(key messenger.KeyID, request messenger.RequestDigest, retention time.Duration) (*messenger.Answer, <-chan struct{}, error) {
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

// Claim takes the key for a call that is about to run. If it returns false and
// no error, the call is a repeat, and Look tells of the first one. It fails
// with a *FullError.
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
		return false, &FullError{Calls: len(k.entries), Bytes: k.bytes}
	}
	k.put(&keyEntry{key: key, request: request, done: make(chan struct{})})
	k.Counters.Claimed.Add(1)
	return true, nil
}

// Finish keeps the answer of a key's call. An answer that the call was not run
// gives the key free.
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

// Hold keeps an unknown key from running here, since the asker is about to run
// it. Of a known key it returns what Look does.
func (k *KeyTable) Hold(q *messenger.KeyQuery, retention time.Duration) (*messenger.Answer, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(retention)
	el, ok := k.entries[q.Key]
	if ok && !el.Value.(*keyEntry).isHeld() {
		return k.look(q.Key, q.Request, retention)
	}
	if ok {
		k.drop(el)
	}
	if k.isFull() {
		k.Counters.Full.Add(1)
		return nil, nil, &FullError{Calls: len(k.entries), Bytes: k.bytes}
	}
	k.put(&keyEntry{key: q.Key, request: q.Request, holder: messenger.Process{InstanceID: q.Asker, Incarnation: q.Incarnation}})
	return nil, nil, nil
}

// Records returns the keys whose calls have ended.
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
			Key: e.key, Request: e.request, Answer: e.answer, AgeMS: time.Since(e.at).Milliseconds(),
		})
	}
	return records
}

// Import takes in keys that another daemon hands over. They replace what is held
// for others, and count as ended now, which keeps them longer rather than shorter.
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
			return &FullError{Calls: len(k.entries), Bytes: k.bytes}
		}
		done := make(chan struct{})
		close(done)
		k.put(&keyEntry{key: r.Key, request: r.Request, answer: r.Answer, done: done})
		k.Counters.Taken.Add(1)
	}
	return nil
}

func (k *KeyTable) isFull() bool {
	return len(k.entries) >= cmp.Or(k.MaxKeys, DefaultMaxKeys) || k.bytes >= cmp.Or(k.MaxBytes, DefaultMaxKeyBytes)
}

func (k *KeyTable) put(e *keyEntry) {
	if k.entries == nil {
		k.entries = make(map[messenger.KeyID]*list.Element)
	}
	e.at = time.Now()
	k.entries[e.key] = k.order.PushBack(e)
	k.bytes += e.bytes()
}

func (k *KeyTable) drop(el *list.Element) {
	e := el.Value.(*keyEntry)
	delete(k.entries, e.key)
	k.order.Remove(el)
	k.bytes -= e.bytes()
}

// expire forgets what is older than the retention, but no call that runs.
func (k *KeyTable) expire(retention time.Duration) {
	for el := k.order.Front(); el != nil; {
		next := el.Next()
		e := el.Value.(*keyEntry)
		if time.Since(e.at) < retention {
			return
		}
		if e.answer != nil || e.isHeld() {
			k.drop(el)
		}
		el = next
	}
}

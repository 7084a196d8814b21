package executor

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/fencer"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// Causes of answers to calls with an idempotency key.
const (
	CauseKeyReused     = "key-reused"
	CauseKeyUndecided  = "key-undecided"
	CauseKeyRuns       = "key-still-runs"
	CauseKeyMoved      = "key-home-moved"
	CauseKeyHomeLost   = "key-home-lost"
	CauseKeyMemory     = "key-memory-young"
	CauseKeyPeer       = "key-peer-unreachable"
	CauseKeyTableFull  = "key-table-full"
	CauseKeyUnseen     = "key-unseen"
	causeKeysTaken     = "keys-taken"
	defaultRetention   = 2 * time.Minute
	handoverBatchBytes = 1 << 20
	// frozenAfter is the gap between two beats after which this process takes
	// itself to have been frozen.
	frozenAfter  = 3 * time.Second
	beatInterval = time.Second
)

// Peers is what an Executor knows of the other targets of its service.
type Peers interface {
	// Service, Draining and Departed are those of tracker.Table.
	Service(name string) []tracker.Record
	Draining(name string) []tracker.Record
	Departed(name string) []tracker.Departure
	Find(id string) (tracker.Record, bool)
	Merge(records []tracker.Record) []tracker.Record
}

// Keyring is an executor's part in the idempotency keys of its service. With
// Peers nil, the daemon answers for its own memory only.
//
// Invariant: a new key runs only if this daemon is its home in its own view and
// in that of the entry daemon, no process that may have run the key was lost
// within the retention, and every other target that may have run it has
// answered that it did not and will not.
type Keyring struct {
	Peers Peers
	// Ask brings a KeyQuery or KeyHandover to another target's daemon.
	Ask func(ctx context.Context, to tracker.Record, id messenger.CallID, m messenger.Message) (*messenger.Answer, error)
	// Retention returns how long keys are remembered; nil means two minutes.
	Retention func() time.Duration
	// Joined is since when other daemons have taken this one for the home of its
	// keys without a break; zero means the first use.
	Joined time.Time
	Keys   fencer.Keys

	mu sync.Mutex
	// memory is since when no keys of the service were lost, as others vouch;
	// zero means Joined.
	memory time.Time
	beat   time.Time
	// clean holds, by instance, the newest incarnation that has handed over its keys.
	clean map[string]uint64
}

func (k *Keyring) retention() time.Duration {
	if k.Retention == nil {
		return defaultRetention
	}
	return k.Retention()
}

// Run notices when this process was frozen, until ctx ends. What others took
// it to have lost meanwhile it must ask for.
func (k *Keyring) Run(ctx context.Context) {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	k.mu.Lock()
	k.beat = time.Now()
	k.mu.Unlock()
	for {
		k.ages()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// update notices a freeze. The caller holds mu.
func (k *Keyring) update(now time.Time) {
	if k.Joined.IsZero() || !k.beat.IsZero() && now.Sub(k.beat) > frozenAfter {
		k.Joined = now
		k.memory = time.Time{}
	}
	if !k.beat.IsZero() {
		k.beat = now
	}
}

// ages returns for how long this daemon has been a home, and how far back it
// knows that no keys of the service were lost.
func (k *Keyring) ages() (joined, memory time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.update(now)
	joined = now.Sub(k.Joined)
	if k.memory.IsZero() {
		return joined, joined
	}
	return joined, max(joined, now.Sub(k.memory))
}

// extend takes in what another daemon vouches for, unless a member of which it
// knows has been replaced since without its knowledge.
func (x *Executor) extend(m *messenger.KeyMemory) {
	k := &x.Keyring
	if m == nil || k.Peers == nil || x.knowsOfLoss(m.Members) {
		return
	}
	k.Peers.Merge(m.Members)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.update(now)
	if from := now.Add(-time.Duration(m.MS) * time.Millisecond); k.memory.IsZero() || from.Before(k.memory) {
		k.memory = from
	}
}

// knowsOfLoss says whether one of the processes has been replaced by another
// and handed nothing over.
func (x *Executor) knowsOfLoss(members []tracker.Record) bool {
	for _, r := range members {
		newest := x.Incarnation
		if r.InstanceID != x.InstanceID {
			now, _ := x.Keyring.Peers.Find(r.InstanceID)
			newest = now.Incarnation
		}
		if r.Incarnation < newest && !x.Keyring.isClean(r) {
			return true
		}
	}
	return false
}

// isClean says whether the process has handed over its keys.
func (k *Keyring) isClean(r tracker.Record) bool {
	if r.HandedOver {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clean[r.InstanceID] == r.Incarnation
}

func (k *Keyring) markClean(instance string, incarnation uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clean == nil {
		k.clean = make(map[string]uint64)
	}
	k.clean[instance] = incarnation
}

// performKeyed runs a call with an idempotency key, or returns what is known of
// an earlier call with the key.
func (x *Executor) performKeyed(ctx context.Context, r *run) *messenger.Answer {
	k := &x.Keyring
	id, key, request := r.call.ID, r.call.KeyOf(), r.call.RequestOf()
	for {
		answer, done, err := k.Keys.Look(key, request, k.retention())
		var other *fencer.OtherRequestError
		var held *fencer.HeldError
		switch {
		case errors.As(err, &other):
			return messenger.NotRun(id, CauseKeyReused)
		case errors.As(err, &held) && !k.hasLeft(r.call.Service, held.Holder):
			return messenger.NotRun(id, CauseKeyMoved)
		case done != nil && answer != nil:
			return repeat(id, answer)
		case done != nil && !wait(ctx, done):
			return messenger.Unknown(id, CauseKeyRuns)
		case done != nil:
			continue
		}
		if refusal := x.clear(ctx, r.call, key, request); refusal != nil {
			return refusal
		}
		claimed, err := k.Keys.Claim(key, request)
		if err != nil {
			return messenger.NotRun(id, CauseKeyTableFull)
		}
		if !claimed {
			continue
		}
		answer = x.perform(ctx, r)
		k.Keys.Finish(key, answer)
		return answer
	}
}

// wait returns false when ctx ends before done is closed.
func wait(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-done:
		return true
	}
}

// repeat returns what the repeat of a call is told that was answered before.
func repeat(id messenger.CallID, answer *messenger.Answer) *messenger.Answer {
	if answer.Outcome != messenger.OutcomeAnswered {
		return messenger.Unknown(id, CauseKeyUndecided)
	}
	again := *answer
	again.ID = id
	return &again
}

func (k *Keyring) hasLeft(service, instance string) bool {
	if k.Peers == nil {
		return false
	}
	for _, d := range k.Peers.Departed(service) {
		if d.Record.InstanceID == instance && !d.Returned {
			return true
		}
	}
	return false
}

// clear returns nil when no other daemon has run the key or ever will, and
// else the answer that the caller is told.
func (x *Executor) clear(ctx context.Context, call *messenger.Call, key messenger.KeyID, request messenger.RequestDigest) *messenger.Answer {
	k := &x.Keyring
	if k.Peers == nil {
		return nil
	}
	service := call.Service
	joined, _ := k.ages()
	young := joined < k.retention()
	ready := k.Peers.Service(service)
	own := messenger.Rank(key, x.InstanceID)
	for _, r := range ready {
		if r.InstanceID != x.InstanceID && messenger.Rank(key, r.InstanceID) > own {
			return messenger.NotRun(call.ID, CauseKeyMoved)
		}
	}
	asked := others(x.InstanceID, ready, k.Peers.Draining(service))
	ask := young || len(k.Peers.Draining(service)) > 0
	if refusal := x.lostHome(call, key, young); refusal != nil {
		return refusal
	}
	ask = ask || k.hasReturned(service)
	for _, p := range call.KeyPeers {
		if _, ok := asked[p.InstanceID]; !ok && p.InstanceID != x.InstanceID && !k.hasLeft(service, p.InstanceID) {
			asked[p.InstanceID] = tracker.Record{InstanceID: p.InstanceID, PeerAddress: p.PeerAddress, Incarnation: p.Incarnation}
			ask = true
		}
	}
	if !ask {
		return nil
	}
	query := &messenger.KeyQuery{Key: key, Request: request, Asker: x.InstanceID, Incarnation: x.Incarnation}
	if refusal := x.askAll(ctx, call, asked, query); refusal != nil {
		return refusal
	}
	// The answers may have told of losses.
	return x.lostHome(call, key, young)
}

// lostHome returns nil unless a process was lost that may have run the key.
func (x *Executor) lostHome(call *messenger.Call, key messenger.KeyID, young bool) *messenger.Answer {
	k := &x.Keyring
	own := messenger.Rank(key, x.InstanceID)
	for _, d := range k.Peers.Departed(call.Service) {
		if d.Returned || time.Since(d.At) > k.retention() || k.isClean(d.Record) {
			continue
		}
		if young || d.Record.InstanceID == x.InstanceID || messenger.Rank(key, d.Record.InstanceID) > own {
			answer := messenger.Unknown(call.ID, CauseKeyHomeLost)
			answer.RetryAfterMS = (k.retention() - time.Since(d.At)).Milliseconds()
			return answer
		}
	}
	return nil
}

// hasReturned says whether a target came back that was held to be gone.
func (k *Keyring) hasReturned(service string) bool {
	return slices.ContainsFunc(k.Peers.Departed(service), func(d tracker.Departure) bool {
		return d.Returned && time.Since(d.At) <= k.retention()
	})
}

func others(self string, sets ...[]tracker.Record) map[string]tracker.Record {
	all := make(map[string]tracker.Record)
	for _, set := range sets {
		for _, r := range set {
			if r.InstanceID != self {
				all[r.InstanceID] = r
			}
		}
	}
	return all
}

// askAll returns nil when every daemon asked knows nothing of the key and one
// of them, or this one, remembers for long enough.
func (x *Executor) askAll(ctx context.Context, call *messenger.Call, asked map[string]tracker.Record, q *messenger.KeyQuery) *messenger.Answer {
	k := &x.Keyring
	answers := make(chan *messenger.Answer, len(asked))
	var g errgroup.Group
	for _, r := range asked {
		g.Go(func() error {
			query := *q
			query.ID = messenger.NewCallID()
			answer, err := k.Ask(ctx, r, query.ID, &query)
			switch {
			case err != nil:
				answer = messenger.Unknown(call.ID, CauseKeyPeer)
			case answer.Memory != nil && answer.Memory.Incarnation != r.Incarnation && !k.isClean(r):
				answer = messenger.Unknown(call.ID, CauseKeyHomeLost)
			}
			answers <- answer
			return nil
		})
	}
	_ = g.Wait()
	close(answers)
	for answer := range answers {
		switch {
		case answer.Outcome == messenger.OutcomeNotRun && answer.Cause == CauseKeyUnseen:
			x.extend(answer.Memory)
		case answer.Outcome == messenger.OutcomeAnswered:
			again := *answer
			again.ID = call.ID
			return &again
		case answer.Cause == CauseKeyReused:
			return messenger.NotRun(call.ID, CauseKeyReused)
		default:
			return messenger.Unknown(call.ID, answer.Cause)
		}
	}
	_, memory := k.ages()
	if left := k.retention() - memory; left > 0 {
		answer := messenger.Unknown(call.ID, CauseKeyMemory)
		answer.RetryAfterMS = left.Milliseconds()
		return answer
	}
	return nil
}

// answerQuery answers another daemon that is about to run a key.
func (x *Executor) answerQuery(ctx context.Context, l *servedLink, q *messenger.KeyQuery) {
	x.send(ctx, l, x.query(ctx, q))
}

func (x *Executor) query(ctx context.Context, q *messenger.KeyQuery) *messenger.Answer {
	k := &x.Keyring
	for {
		answer, done, err := k.Keys.Hold(q, k.retention())
		var other *fencer.OtherRequestError
		switch {
		case errors.As(err, &other):
			return messenger.NotRun(q.ID, CauseKeyReused)
		case err != nil:
			return messenger.Unknown(q.ID, CauseKeyTableFull)
		case done != nil && answer != nil:
			return repeat(q.ID, answer)
		case done != nil && !wait(ctx, done):
			return messenger.Unknown(q.ID, CauseKeyRuns)
		case done != nil:
			continue
		}
		unseen := messenger.NotRun(q.ID, CauseKeyUnseen)
		unseen.Memory = x.vouch()
		if x.replacesLost(q) {
			unseen.Memory.MS = 0
		}
		return unseen
	}
}

// replacesLost says whether the asker's process has taken the place of one that
// handed nothing over, which the asker can't know itself.
func (x *Executor) replacesLost(q *messenger.KeyQuery) bool {
	k := &x.Keyring
	if k.Peers == nil {
		return false
	}
	old, ok := k.Peers.Find(q.Asker)
	return ok && old.Incarnation < q.Incarnation && !k.isClean(old)
}

// vouch returns how far back this daemon knows that no keys of its service were
// lost by any daemon.
func (x *Executor) vouch() *messenger.KeyMemory {
	k := &x.Keyring
	_, memory := k.ages()
	if k.Peers == nil || x.Service == nil {
		return &messenger.KeyMemory{MS: memory.Milliseconds(), Incarnation: x.Incarnation}
	}
	service := x.Service()
	members := slices.Concat(k.Peers.Service(service), k.Peers.Draining(service))
	for _, d := range k.Peers.Departed(service) {
		if !k.isClean(d.Record) {
			memory = min(memory, time.Since(d.At))
		}
	}
	return &messenger.KeyMemory{MS: memory.Milliseconds(), Members: members, Incarnation: x.Incarnation}
}

// HandOver gives the keys to the daemons that are their homes without this one.
// It fails when one of them did not take them; the keys are lost with this
// process then, and the others know it from its record.
func (x *Executor) HandOver(ctx context.Context) error {
	k := &x.Keyring
	if k.Peers == nil || x.Service == nil {
		return nil
	}
	heirs := others(x.InstanceID, k.Peers.Service(x.Service()))
	batches := make(map[string][]messenger.KeyRecord)
	records := k.Keys.Records(k.retention())
	if len(heirs) == 0 && len(records) > 0 {
		return &NoHeirError{Keys: len(records)}
	}
	for _, r := range records {
		best, rank := "", uint64(0)
		for id := range heirs {
			if n := messenger.Rank(r.Key, id); best == "" || n > rank {
				best, rank = id, n
			}
		}
		batches[best] = append(batches[best], r)
	}
	var g errgroup.Group
	for id, heir := range heirs {
		g.Go(func() error { return x.give(ctx, heir, batches[id]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, heir := range heirs {
		g.Go(func() error {
			m := x.newHandover(nil)
			m.Done = true
			_, err := x.Keyring.Ask(ctx, heir, m.ID, m)
			return err
		})
	}
	// The record that follows says the same to whom this doesn't reach.
	_ = g.Wait()
	return nil
}

func (x *Executor) newHandover(records []messenger.KeyRecord) *messenger.KeyHandover {
	return &messenger.KeyHandover{
		ID: messenger.NewCallID(), Keys: records, Memory: *x.vouch(), Giver: x.InstanceID, Incarnation: x.Incarnation,
	}
}

// give hands records to one heir, in messages of bounded size.
func (x *Executor) give(ctx context.Context, heir tracker.Record, records []messenger.KeyRecord) error {
	for first := true; first || len(records) > 0; first = false {
		n, bytes := 0, 0
		for n < len(records) && (n == 0 || bytes < handoverBatchBytes) {
			bytes += len(records[n].Answer.Body)
			n++
		}
		m := x.newHandover(records[:n])
		answer, err := x.Keyring.Ask(ctx, heir, m.ID, m)
		if err != nil {
			return err
		}
		if answer.Outcome != messenger.OutcomeAnswered {
			return &NoHeirError{Keys: len(records)}
		}
		x.Keyring.Keys.Counters.HandedOver.Add(int64(n))
		records = records[n:]
	}
	return nil
}

// NoHeirError reports keys that no other daemon took.
type NoHeirError struct{ Keys int }

// Error implements error.
func (e *NoHeirError) Error() string { return "no daemon took the idempotency keys" }

// takeOver takes in keys that another daemon hands over.
func (x *Executor) takeOver(ctx context.Context, l *servedLink, m *messenger.KeyHandover) {
	answer := &messenger.Answer{ID: m.ID, Outcome: messenger.OutcomeAnswered, Cause: causeKeysTaken}
	if err := x.Keyring.Keys.Take(m.Keys); err != nil {
		answer = messenger.NotRun(m.ID, CauseKeyTableFull)
	} else {
		if m.Done {
			x.Keyring.markClean(m.Giver, m.Incarnation)
		}
		x.extend(&m.Memory)
	}
	x.send(ctx, l, answer)
}

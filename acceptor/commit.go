package acceptor

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

// proposal is one attempt to make a version.
type proposal struct {
	change *Change
	// expect is the revision of the head that the proposal follows.
	expect storer.Revision
	// value is the encoded new head.
	value   []byte
	version versioner.Version
	digest  versioner.Digest
	// content is the revision under which the proposal's document is stored.
	content storer.Revision
	doc     *versioner.Document
}

// lostRaceError reports an attempt that lost against another change.
type lostRaceError struct{}

// Error implements error.
func (e *lostRaceError) Error() string { return "lost against another change" }

// stage writes what must be stored before the head names it, and encodes the
// new head. What would not fit is refused before anything is written.
func (a *Acceptor) stage(ctx context.Context, p *proposal, head *Head, delta versioner.Delta) error {
	next, evicted, err := head.next(delta, math.MaxUint64, a.recentBytes())
	if err != nil {
		return err
	}
	if _, err := encode(HeadKey, next); err != nil {
		return err
	}
	pruned := a.startPrune(ctx, head)
	g, writeCtx := errgroup.WithContext(ctx)
	g.Go(func() error {
		content, err := a.putImmutable(writeCtx, ContentKey(p.digest), p.doc)
		p.content = content
		return err
	})
	g.Go(func() error { return a.archive(writeCtx, evicted) })
	if err := g.Wait(); err != nil {
		return err
	}
	next.forget(<-pruned)
	next.Contents[len(next.Contents)-1] = p.content
	p.value, err = encode(HeadKey, next)
	return err
}

// encode returns the value to store under the key, or a *TooLargeError.
func encode(key string, v any) ([]byte, error) {
	value, err := versioner.Marshal(v)
	if err != nil {
		return nil, errorx.Decorate(err, "encoding %s", key)
	}
	if len(value) > storer.MaxValueBytes {
		return nil, &TooLargeError{What: key, Bytes: len(value), Limit: storer.MaxValueBytes}
	}
	return value, nil
}

// commit swaps the head. Without an answer, or when the head is not as
// expected, it reads the head until that settles what happened or ctx ends:
//
//   - the head holds the change: accepted;
//   - the head moved on without it: not accepted, because a swap that expects
//     the old revision can no longer take effect;
//   - the head did not move: the same swap is sent again. Of all the copies at
//     most one takes effect.
func (a *Acceptor) commit(ctx context.Context, p *proposal) (versioner.Version, error) {
	for {
		_, err := a.Store.CompareAndSwap(ctx, HeadKey, p.value, p.expect, 0)
		if err == nil {
			a.newest.Store(&cached{digest: p.digest, doc: p.doc})
			return p.version, nil
		}
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			a.Counters.LostAnswers.Add(1)
		}
		settled, v, failed := a.settle(ctx, p)
		var reused *ReusedIDError
		if errors.As(failed, &reused) {
			return 0, failed
		}
		if failed != nil {
			return 0, &UnknownOutcomeError{ChangeID: p.change.Audit.ChangeID, Cause: failed}
		}
		if settled && v == 0 {
			return 0, &lostRaceError{}
		}
		if settled {
			return v, nil
		}
		if failed := sleeper.Sleep(ctx, settleWait); failed != nil {
			return 0, &UnknownOutcomeError{ChangeID: p.change.Audit.ChangeID, Cause: err}
		}
	}
}

// settle reads whether the proposal's fate is decided, and the version that the
// change made, or 0 when it made none.
func (a *Acceptor) settle(ctx context.Context, p *proposal) (bool, versioner.Version, error) {
	head, rev, err := a.readHead(ctx)
	if err != nil {
		return false, 0, err
	}
	if rev <= p.expect {
		return false, 0, nil
	}
	v, err := a.findChange(ctx, &head, p.change)
	if err == nil && v == 0 {
		a.discardLoser(ctx, p, &head)
	}
	return err == nil, v, err
}

// discardLoser deletes the document of a proposal that lost. It does so only
// when the proposal's version is known to have another document: until then an
// equal proposal of another editor may still name it.
func (a *Acceptor) discardLoser(ctx context.Context, p *proposal, head *Head) {
	if winner, ok := head.at(p.version); ok && winner.ToDigest != p.digest {
		a.remove(ctx, ContentKey(p.digest), p.content)
	}
}

const (
	settleWait       = 50 * time.Millisecond
	storeRetryWait   = 20 * time.Millisecond
	storeRetryMaxGap = time.Second
)

// retry repeats an idempotent operation while the store is unavailable, until
// ctx ends.
func retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = storeRetryWait
	wait.MaxInterval = storeRetryMaxGap
	var last error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := op()
		last = err
		var unavailable *storer.UnavailableError
		if err != nil && !errors.As(err, &unavailable) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return v, last
	}
	return v, nil
}

func (a *Acceptor) get(ctx context.Context, key string) (storer.Item, error) {
	return retry(ctx, func() (storer.Item, error) { return a.Store.Get(ctx, key) })
}

type headAt struct {
	head Head
	rev  storer.Revision
}

func (a *Acceptor) readHead(ctx context.Context) (Head, storer.Revision, error) {
	at, err := retry(ctx, func() (headAt, error) {
		head, rev, err := ReadHead(ctx, a.Store)
		return headAt{head: head, rev: rev}, err
	})
	return at.head, at.rev, err
}

func (a *Acceptor) readDelta(ctx context.Context, head *Head, v versioner.Version) (versioner.Delta, error) {
	return retry(ctx, func() (versioner.Delta, error) { return readDelta(ctx, a.Store, head, v) })
}

// readDocument returns the head's document. A document that is already gone
// belongs to a head that is no longer the newest.
func (a *Acceptor) readDocument(ctx context.Context, head Head) (*versioner.Document, error) {
	if c := a.newest.Load(); c != nil && c.digest == head.Digest {
		return c.doc, nil
	}
	doc, err := retry(ctx, func() (*versioner.Document, error) { return ReadDocument(ctx, a.Store, head) })
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return nil, &lostRaceError{}
	}
	if err != nil {
		return nil, err
	}
	if head.Version != 0 {
		a.newest.Store(&cached{digest: head.Digest, doc: doc})
	}
	return doc, nil
}

// ReadNewest returns the newest accepted document, from the store.
func (a *Acceptor) ReadNewest(ctx context.Context) (*versioner.Document, error) {
	_, doc, err := a.readNewest(ctx)
	return doc, err
}

func (a *Acceptor) readNewest(ctx context.Context) (Head, *versioner.Document, error) {
	for {
		head, _, err := a.readHead(ctx)
		if err != nil {
			return Head{}, nil, err
		}
		doc, err := a.readDocument(ctx, head)
		var lost *lostRaceError
		if !errors.As(err, &lost) {
			return head, doc, err
		}
		if err := sleeper.Sleep(ctx, storeRetryWait); err != nil {
			return Head{}, nil, err
		}
	}
}

func (a *Acceptor) recentBytes() int {
	if a.RecentBytes == 0 {
		return defaultRecentBytes
	}
	return a.RecentBytes
}

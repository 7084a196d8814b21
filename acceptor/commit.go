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

// proposal is one attempt to create a version.
type proposal struct {
	change *Change
	// expectedRevision is the revision of the head that the proposal is based on.
	expectedRevision storer.Revision
	// encodedHead is the encoded new head.
	encodedHead []byte
	version     versioner.Version
	digest      versioner.Digest
	// contentRevision is the revision of the key that holds the proposal's document.
	contentRevision storer.Revision
	doc             *versioner.Document
}

// lostRaceError reports an attempt that failed because another change was
// accepted first.
type lostRaceError struct{}

// Error implements error.
func (e *lostRaceError) Error() string { return "another change was accepted first" }

// stage stores the proposal's document and the deltas that no longer fit into the
// head, because the new head must not refer to values that are not stored yet. It
// also encodes the new head. A head that would be too large is refused before
// anything is written.
func (a *Acceptor) stage(ctx context.Context, p *proposal, head *Head, delta versioner.Delta) error {
	// The revision of the document is known only after it is written. Its largest
	// possible value stands in for it, so that the size is checked at its maximum.
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
		p.contentRevision = content
		return err
	})
	g.Go(func() error { return a.archive(writeCtx, evicted) })
	if err := g.Wait(); err != nil {
		return err
	}
	next.removePruned(<-pruned)
	next.Contents[len(next.Contents)-1] = p.contentRevision
	p.encodedHead, err = encode(HeadKey, next)
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

// commit swaps the head. If the swap gets no answer or the head has another
// revision than expected, commit reads the head until the outcome is known or ctx
// ends:
//
//   - The change is in the head or the history: it was accepted.
//   - The head has a newer revision without the change: it was not accepted,
//     because a swap that expects the old revision can no longer take effect.
//   - The head has the old revision: commit sends the same swap again. At most
//     one of the copies takes effect.
func (a *Acceptor) commit(ctx context.Context, p *proposal) (versioner.Version, error) {
	for {
		_, err := a.Store.CompareAndSwap(ctx, HeadKey, p.encodedHead, p.expectedRevision, 0)
		if err == nil {
			a.newest.Store(&cachedDocument{digest: p.digest, doc: p.doc})
			return p.version, nil
		}
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			a.Counters.LostAnswers.Add(1)
		}
		settled, v, failed := a.resolveOutcome(ctx, p)
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
		if failed := sleeper.Sleep(ctx, outcomePollInterval); failed != nil {
			return 0, &UnknownOutcomeError{ChangeID: p.change.Audit.ChangeID, Cause: err}
		}
	}
}

// resolveOutcome reads the head and reports whether the outcome of the proposal is
// known. If so, it returns the version that the change created, or 0 if it was
// not accepted.
func (a *Acceptor) resolveOutcome(ctx context.Context, p *proposal) (bool, versioner.Version, error) {
	head, rev, err := a.readHead(ctx)
	if err != nil {
		return false, 0, err
	}
	if rev <= p.expectedRevision {
		return false, 0, nil
	}
	v, err := a.findChange(ctx, &head, p.change)
	if err == nil && v == 0 {
		a.discardLoser(ctx, p, &head)
	}
	return err == nil, v, err
}

// discardLoser deletes the document of a proposal that was not accepted. It does
// so only if the head shows that the proposal's version has another document.
// Otherwise the head may refer to the same document, because another editor
// proposed an equal one.
func (a *Acceptor) discardLoser(ctx context.Context, p *proposal, head *Head) {
	if winner, ok := head.deltaTo(p.version); ok && winner.ToDigest != p.digest {
		a.remove(ctx, ContentKey(p.digest), p.contentRevision)
	}
}

const (
	// outcomePollInterval is the wait before commit repeats a swap whose outcome is
	// unknown.
	outcomePollInterval = 50 * time.Millisecond
	// storeRetryWait is the first wait before an operation of the store is repeated;
	// the waits grow to storeRetryMaxWait.
	storeRetryWait    = 20 * time.Millisecond
	storeRetryMaxWait = time.Second
)

// retry repeats an idempotent operation while the store is unavailable, until ctx
// ends. It then returns the last error of the operation rather than that of ctx.
func retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = storeRetryWait
	wait.MaxInterval = storeRetryMaxWait
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

// get reads a key. Like readHead and readDelta, it retries while the store is
// unavailable, until ctx ends.
func (a *Acceptor) get(ctx context.Context, key string) (storer.Item, error) {
	return retry(ctx, func() (storer.Item, error) { return a.Store.Get(ctx, key) })
}

// headWithRevision is a head with the revision of its key.
type headWithRevision struct {
	head Head
	rev  storer.Revision
}

// readHead reads the head and the revision of its key.
func (a *Acceptor) readHead(ctx context.Context) (Head, storer.Revision, error) {
	at, err := retry(ctx, func() (headWithRevision, error) {
		head, rev, err := ReadHead(ctx, a.Store)
		return headWithRevision{head: head, rev: rev}, err
	})
	return at.head, at.rev, err
}

// readDelta reads the delta that created version v.
func (a *Acceptor) readDelta(ctx context.Context, head *Head, v versioner.Version) (versioner.Delta, error) {
	return retry(ctx, func() (versioner.Delta, error) { return readDelta(ctx, a.Store, head, v) })
}

// readDocument returns the document of the head. It fails with a *lostRaceError if
// the document was deleted, because that happens only to documents of heads that
// are no longer the newest.
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
		a.newest.Store(&cachedDocument{digest: head.Digest, doc: doc})
	}
	return doc, nil
}

// ReadNewest returns the newest accepted document. It reads the head from the
// store on each call.
func (a *Acceptor) ReadNewest(ctx context.Context) (*versioner.Document, error) {
	_, doc, err := a.readNewest(ctx)
	return doc, err
}

// readNewest returns the newest head and its document. It reads the head again if
// the document was deleted in between.
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

// recentBytes returns RecentBytes, or its default if it is 0.
func (a *Acceptor) recentBytes() int {
	if a.RecentBytes == 0 {
		return defaultRecentBytes
	}
	return a.RecentBytes
}

package acceptor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// pruneBatch bounds the documents and the history versions that one change
	// deletes, each. The change waits for these deletions before it writes the new
	// head.
	pruneBatch = 2
	// pruneTimeout bounds the time for the deletions of one change.
	pruneTimeout = time.Second
	// maxArchiveWrites bounds the concurrent writes to the history of one change.
	maxArchiveWrites = 8
)

// HistoryKey returns the key that holds the delta that created the version, once
// the delta is evicted from the head. Its value never changes.
func HistoryKey(v versioner.Version) string { return fmt.Sprintf("config/history/%020d", v) }

// ChangeKey returns the key that holds the version that the change created, once
// its delta is evicted from the head. Its value never changes.
func ChangeKey(changeID string) string {
	sum := sha256.Sum256([]byte(changeID))
	return "config/change/" + hex.EncodeToString(sum[:16])
}

// ReadHistory returns up to limit deltas, newest first. It ends early at a version
// that was pruned. It reads the head, and one key for each delta that the head
// does not hold.
func ReadHistory(ctx context.Context, store storer.Client, limit int) ([]versioner.Delta, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil {
		return nil, err
	}
	deltas := []versioner.Delta{}
	for v := head.Version; v > 0 && len(deltas) < limit; v-- {
		d, err := readDelta(ctx, store, &head, v)
		var missing *storer.NotFoundError
		if errors.As(err, &missing) {
			return deltas, nil
		}
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, d)
	}
	return deltas, nil
}

// readDelta returns the delta that created the version, from the head or the
// history.
func readDelta(ctx context.Context, store storer.Client, head *Head, v versioner.Version) (versioner.Delta, error) {
	if d, ok := head.deltaTo(v); ok {
		return d, nil
	}
	item, err := store.Get(ctx, HistoryKey(v))
	if err != nil {
		return versioner.Delta{}, err
	}
	var d versioner.Delta
	if err := cbor.Unmarshal(item.Value, &d); err != nil {
		return versioner.Delta{}, errorx.Decorate(err, "decoding history of version %d", v)
	}
	return d, nil
}

// acceptedChange is the value of a ChangeKey.
type acceptedChange struct {
	Version versioner.Version `json:"version"`
	// Edits is the change's Audit.Edits; zero if its audit has none.
	Edits versioner.Digest `json:"edits,omitzero"`
}

// findChange returns the version that the change created, or 0 if the change is
// neither in the head nor in the history. It fails with a *ReusedIDError if other
// edits were accepted under the change's id. The head must be read before the
// history is: evicted deltas are written to the history before the head without
// them is written, so in this order no delta is missed.
func (a *Acceptor) findChange(ctx context.Context, head *Head, change *Change) (versioner.Version, error) {
	made, err := a.lookUpChange(ctx, head, change.Audit.ChangeID)
	if err != nil || made.Version == 0 {
		return 0, err
	}
	if made.Edits != (versioner.Digest{}) && made.Edits != change.Audit.Edits {
		return 0, &ReusedIDError{ChangeID: change.Audit.ChangeID, Version: made.Version}
	}
	return made.Version, nil
}

// lookUpChange returns what was accepted under the change id, from the head or the
// history; zero if nothing was.
func (a *Acceptor) lookUpChange(ctx context.Context, head *Head, changeID string) (acceptedChange, error) {
	if d, ok := head.deltaOfChange(changeID); ok {
		return acceptedChange{Version: d.To, Edits: d.Audit.Edits}, nil
	}
	item, err := a.get(ctx, ChangeKey(changeID))
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return acceptedChange{}, nil
	}
	if err != nil {
		return acceptedChange{}, err
	}
	var made acceptedChange
	if err := cbor.Unmarshal(item.Value, &made); err != nil {
		return acceptedChange{}, errorx.Decorate(err, "decoding change %s", changeID)
	}
	return made, nil
}

// archive writes accepted deltas to the history. Concurrent editors may write the
// same delta, since all of them write the same values under the same keys.
func (a *Acceptor) archive(ctx context.Context, deltas []versioner.Delta) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxArchiveWrites)
	for _, d := range deltas {
		g.Go(func() error {
			_, err := a.putImmutable(ctx, ChangeKey(d.Audit.ChangeID), acceptedChange{Version: d.To, Edits: d.Audit.Edits})
			return err
		})
		g.Go(func() error {
			_, err := a.putImmutable(ctx, HistoryKey(d.To), d)
			return err
		})
	}
	return g.Wait()
}

// putImmutable writes a value unless its key exists, and returns the revision of
// the key. The value must be the same for every writer of the key.
func (a *Acceptor) putImmutable(ctx context.Context, key string, v any) (storer.Revision, error) {
	value, err := encode(key, v)
	if err != nil {
		return 0, err
	}
	return retry(ctx, func() (storer.Revision, error) {
		rev, err := a.Store.CompareAndSwap(ctx, key, value, 0, 0)
		var exists *storer.ConflictError
		if errors.As(err, &exists) {
			return exists.Current, nil
		}
		return rev, err
	})
}

// pruneResult states what one change deleted.
type pruneResult struct {
	// garbage holds the documents that no longer exist.
	garbage []ContentRef
	// oldest is the oldest version that the history may still hold.
	oldest versioner.Version
}

// startPrune deletes a bounded number of unneeded documents and of history versions
// beyond the limit in a goroutine, and sends the result on the returned channel.
// Deletions that fail or are not done after pruneTimeout are left to the next
// change.
func (a *Acceptor) startPrune(ctx context.Context, head *Head) <-chan pruneResult {
	done := make(chan pruneResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, pruneTimeout)
		defer cancel()
		done <- a.prune(ctx, head)
	}()
	return done
}

// prune deletes up to pruneBatch documents of the head's Garbage and up to pruneBatch
// of the oldest history versions that are beyond the limit and not in the head. It
// returns the documents that no longer exist and the oldest version that the history
// may still hold.
func (a *Acceptor) prune(ctx context.Context, head *Head) pruneResult {
	p := pruneResult{oldest: head.Oldest}
	for _, ref := range head.Garbage[:min(pruneBatch, len(head.Garbage))] {
		if a.remove(ctx, ContentKey(ref.Digest), ref.Revision) {
			p.garbage = append(p.garbage, ref)
		}
	}
	limit := versioner.Version(a.historyVersions())
	for range pruneBatch {
		_, recent := head.deltaTo(p.oldest)
		if recent || p.oldest+limit > head.Version || !a.deleteHistory(ctx, p.oldest) {
			break
		}
		p.oldest++
	}
	return p
}

// deleteHistory deletes the history of one version and reports whether the history
// no longer exists. It deletes the ChangeKey first, because it finds that key only
// by the delta under the HistoryKey.
func (a *Acceptor) deleteHistory(ctx context.Context, v versioner.Version) bool {
	item, err := a.Store.Get(ctx, HistoryKey(v))
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return true
	}
	var d versioner.Delta
	if err != nil || cbor.Unmarshal(item.Value, &d) != nil {
		return false
	}
	key := ChangeKey(d.Audit.ChangeID)
	index, err := a.Store.Get(ctx, key)
	if err == nil && !a.remove(ctx, key, index.Revision) {
		return false
	}
	if err != nil && !errors.As(err, &missing) {
		return false
	}
	return a.remove(ctx, HistoryKey(v), item.Revision)
}

// remove deletes the given revision of a key and reports whether that revision no
// longer exists.
func (a *Acceptor) remove(ctx context.Context, key string, rev storer.Revision) bool {
	err := a.Store.Delete(ctx, key, rev)
	var conflict *storer.ConflictError
	return err == nil || errors.As(err, &conflict)
}

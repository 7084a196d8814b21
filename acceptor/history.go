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
	// pruneBatch bounds the deletions of each kind that one change pays for.
	pruneBatch   = 2
	pruneTimeout = time.Second
	// archiveLimit bounds the writes of one change that are under way at a time.
	archiveLimit = 8
)

// HistoryKey returns the immutable key under which the delta that leads to the
// version is kept once the head has no room for it.
func HistoryKey(v versioner.Version) string { return fmt.Sprintf("config/history/%020d", v) }

// ChangeKey returns the immutable key under which the version that a change
// made is kept once the head has no room for it.
func ChangeKey(changeID string) string {
	sum := sha256.Sum256([]byte(changeID))
	return "config/change/" + hex.EncodeToString(sum[:16])
}

// ReadHistory returns up to limit deltas, newest first. It costs one call for
// the head and one for each delta that the head does not hold.
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

// readDelta returns the delta that leads to the version, from the head or the
// history.
func readDelta(ctx context.Context, store storer.Client, head *Head, v versioner.Version) (versioner.Delta, error) {
	if d, ok := head.at(v); ok {
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

// accepted is the value of a change key.
type accepted struct {
	Version versioner.Version `json:"version"`
	// Edits is Audit.Edits of the change.
	Edits versioner.Digest `json:"edits,omitzero"`
}

// findChange returns the version that the change made, or 0. It fails with a
// *ReusedIDError when other edits were accepted under the change's id. The head
// must have been read before: what is evicted from a head is in the history
// before that head is written.
func (a *Acceptor) findChange(ctx context.Context, head *Head, change *Change) (versioner.Version, error) {
	made, err := a.lookUp(ctx, head, change.Audit.ChangeID)
	if err != nil || made.Version == 0 {
		return 0, err
	}
	if made.Edits != (versioner.Digest{}) && made.Edits != change.Audit.Edits {
		return 0, &ReusedIDError{ChangeID: change.Audit.ChangeID, Version: made.Version}
	}
	return made.Version, nil
}

func (a *Acceptor) lookUp(ctx context.Context, head *Head, changeID string) (accepted, error) {
	if d, ok := head.find(changeID); ok {
		return accepted{Version: d.To, Edits: d.Audit.Edits}, nil
	}
	item, err := a.get(ctx, ChangeKey(changeID))
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return accepted{}, nil
	}
	if err != nil {
		return accepted{}, err
	}
	var made accepted
	if err := cbor.Unmarshal(item.Value, &made); err != nil {
		return accepted{}, errorx.Decorate(err, "decoding change %s", changeID)
	}
	return made, nil
}

// archive writes accepted deltas into the history. Any editor may write them,
// since their keys and values are the same for all.
func (a *Acceptor) archive(ctx context.Context, deltas []versioner.Delta) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(archiveLimit)
	for _, d := range deltas {
		g.Go(func() error {
			_, err := a.putImmutable(ctx, ChangeKey(d.Audit.ChangeID), accepted{Version: d.To, Edits: d.Audit.Edits})
			return err
		})
		g.Go(func() error {
			_, err := a.putImmutable(ctx, HistoryKey(d.To), d)
			return err
		})
	}
	return g.Wait()
}

// putImmutable writes a value that is the same whoever writes it, and returns
// its revision.
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

// progress is what one change pruned.
type progress struct {
	// garbage holds the documents that are gone.
	garbage []ContentRef
	// oldest is the oldest version that the history may still hold.
	oldest versioner.Version
}

// startPrune deletes a bounded number of documents that nobody needs and of
// history entries beyond the limit, and sends what it did. What fails, or takes
// longer than pruneTimeout, is left to the next change.
func (a *Acceptor) startPrune(ctx context.Context, head *Head) <-chan progress {
	done := make(chan progress, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, pruneTimeout)
		defer cancel()
		done <- a.prune(ctx, head)
	}()
	return done
}

func (a *Acceptor) prune(ctx context.Context, head *Head) progress {
	p := progress{oldest: head.Oldest}
	for _, ref := range head.Garbage[:min(pruneBatch, len(head.Garbage))] {
		if a.remove(ctx, ContentKey(ref.Digest), ref.Revision) {
			p.garbage = append(p.garbage, ref)
		}
	}
	limit := versioner.Version(a.historyVersions())
	for range pruneBatch {
		_, recent := head.at(p.oldest)
		if recent || p.oldest+limit > head.Version || !a.forget(ctx, p.oldest) {
			break
		}
		p.oldest++
	}
	return p
}

// forget deletes the history of one version and says whether it is gone.
func (a *Acceptor) forget(ctx context.Context, v versioner.Version) bool {
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

// remove deletes a key and says whether it is gone.
func (a *Acceptor) remove(ctx context.Context, key string, rev storer.Revision) bool {
	err := a.Store.Delete(ctx, key, rev)
	var gone *storer.ConflictError
	return err == nil || errors.As(err, &gone)
}

package acceptor

import (
	"context"
	"errors"
	"slices"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

// Known is the newest version that a daemon knows to have been accepted.
type Known struct {
	// Document is nil if the daemon knows none.
	Document *versioner.Document
	Digest   versioner.Digest
	// Deltas are the newest deltas that the daemon knows, oldest first. Each starts where
	// the one before it ends.
	Deltas []versioner.Delta
}

// errHeadMoved means that another daemon has changed the head meanwhile.
var errHeadMoved = errorx.IllegalState.New("the head has changed meanwhile")

// RestoreHead writes the known version to the store if the store's head is older: the store
// has come back from a copy that lacks versions which were accepted. Otherwise daemons would
// refuse the next changes, whose version numbers were used before.
func (a *Acceptor) RestoreHead(ctx context.Context, known Known) error {
	head, rev, err := a.readHead(ctx)
	if err != nil {
		return err
	}
	return a.restoreHead(ctx, &head, rev, known)
}

// known returns the newest version that this daemon knows to have been accepted.
func (a *Acceptor) known() Known {
	if a.Known == nil {
		return Known{}
	}
	return a.Known()
}

// isBehind reports whether the head is older than the known version.
func (k Known) isBehind(head *Head) bool {
	return k.Document != nil && head.Version < k.Document.Version
}

// restoreHead implements RestoreHead for a head that was read at a revision.
func (a *Acceptor) restoreHead(ctx context.Context, head *Head, rev storer.Revision, known Known) error {
	if !known.isBehind(head) {
		return nil
	}
	content, err := a.putImmutable(ctx, ContentKey(known.Digest), known.Document)
	if err != nil {
		return err
	}
	lost := slices.DeleteFunc(slices.Clone(known.Deltas), func(d versioner.Delta) bool { return d.To <= head.Version })
	if len(lost) > 0 && lost[len(lost)-1].ToDigest != known.Digest {
		lost = nil
	}
	if err := a.archive(ctx, lost); err != nil {
		return err
	}
	next := &Head{Version: known.Document.Version, Digest: known.Digest, Oldest: head.Oldest}
	if len(lost) > 0 {
		next.Recent, next.Contents = lost[len(lost)-1:], []storer.Revision{content}
	}
	value, err := encode(HeadKey, next)
	if err != nil {
		return err
	}
	_, err = a.Store.CompareAndSwap(ctx, HeadKey, value, rev, 0)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return errHeadMoved
	}
	if err == nil {
		a.Counters.HeadsRestored.Add(1)
	}
	return err
}

package acceptor

import (
	"context"
	"errors"
	"fmt"

	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// maxBaseLag bounds the number of versions that one attempt searches for
// deletions.
const maxBaseLag = 64

// deletionSearch caches the deletions that were made after the base of a change,
// so that later attempts search only the versions accepted since.
type deletionSearch struct {
	// searchedTo is the newest version that was searched.
	searchedTo versioner.Version
	// deletedIn maps each deleted key to the version that deleted it last.
	deletedIn map[versioner.Key]versioner.Version
}

// reducer reduces a change to the edits that alter one document, which it collects
// in upserts and deletes. It collects the values that they replace in previous.
type reducer struct {
	acceptor *Acceptor
	change   *Change
	head     *Head
	doc      *versioner.Document

	upserts  []versioner.Entry
	deletes  []versioner.Key
	previous []versioner.Entry
}

// draft returns the document that results from the change, after validating it.
func (r *reducer) draft(ctx context.Context) (*versioner.Document, error) {
	if err := r.reduce(ctx); err != nil {
		return nil, err
	}
	next := r.doc.With(r.upserts, r.deletes)
	if err := validator.Check(next); err != nil {
		return nil, err
	}
	return next, nil
}

// reduce drops the edits that would alter nothing. It fails with a *ConflictError
// if an edit would overwrite an entry that was changed after the base, and with a
// *NoChangeError if no edit remains.
func (r *reducer) reduce(ctx context.Context) error {
	if r.change.Base > r.doc.Version {
		return &InvalidChangeError{Field: "base-version", Message: fmt.Sprintf("is %d, the newest version is %d", r.change.Base, r.doc.Version)}
	}
	for _, e := range r.change.Upserts {
		if err := r.upsert(ctx, e); err != nil {
			return err
		}
	}
	for _, k := range r.change.Deletes {
		if err := r.delete(ctx, k); err != nil {
			return err
		}
	}
	if len(r.upserts)+len(r.deletes) == 0 {
		return &NoChangeError{Version: r.doc.Version}
	}
	return nil
}

// upsert adds the upsert of one entry, unless the document holds the value already.
func (r *reducer) upsert(ctx context.Context, e versioner.Entry) error {
	current, ok := r.doc.Find(e.Key)
	e = r.withStoredFields(e, current)
	if !ok {
		deletedIn, err := r.lastDeletion(ctx, e.Key)
		if err != nil {
			return err
		}
		if deletedIn != 0 {
			return r.conflict(ctx, &e, nil, e.Key, deletedIn)
		}
		r.upserts = append(r.upserts, e)
		return nil
	}
	if current.EqualValue(e) {
		return nil
	}
	if current.Revision > r.change.Base {
		return r.conflict(ctx, &e, &current, e.Key, current.Revision)
	}
	r.upserts = append(r.upserts, e)
	r.previous = append(r.previous, current)
	return nil
}

// delete adds the deletion of one entry, unless it was deleted after the base.
func (r *reducer) delete(ctx context.Context, k versioner.Key) error {
	current, ok := r.doc.Find(k)
	if !ok {
		deletedIn, err := r.lastDeletion(ctx, k)
		if err != nil {
			return err
		}
		if deletedIn == 0 {
			return &InvalidChangeError{Field: "delete", Message: fmt.Sprintf("names %s, which does not exist", k)}
		}
		return nil
	}
	if current.Revision > r.change.Base {
		return r.conflict(ctx, nil, &current, k, current.Revision)
	}
	r.deletes = append(r.deletes, k)
	r.previous = append(r.previous, current)
	return nil
}

// withStoredFields returns the entry with the fields that the editor doesn't set:
// the author and the time of an exception, and the present token of a partner for
// which the edit gives none. So a token can be replaced, but not removed.
func (r *reducer) withStoredFields(e, current versioner.Entry) versioner.Entry {
	if e.Exception != nil {
		x := *e.Exception
		x.Author = r.change.Audit.Author
		x.At = versioner.TimestampOf(r.change.Audit.At)
		e.Exception = &x
	}
	if e.Partner != nil && e.Partner.TokenSHA256 == "" && current.Partner != nil {
		p := *e.Partner
		p.TokenSHA256 = current.Partner.TokenSHA256
		e.Partner = &p
	}
	return e
}

// lastDeletion returns the last version after the base that deleted the key, or 0.
// It fails with a *StaleBaseError if more than maxBaseLag versions would have to be
// searched, or if the history no longer holds one of them.
func (r *reducer) lastDeletion(ctx context.Context, k versioner.Key) (versioner.Version, error) {
	found := &r.change.deletions
	if found.deletedIn == nil {
		*found = deletionSearch{searchedTo: r.change.Base, deletedIn: make(map[versioner.Key]versioner.Version)}
	}
	stale := &StaleBaseError{Base: r.change.Base, Newest: r.doc.Version}
	if r.doc.Version-found.searchedTo > maxBaseLag {
		return 0, stale
	}
	for v := found.searchedTo + 1; v <= r.doc.Version; v++ {
		d, err := r.acceptor.readDelta(ctx, r.head, v)
		var missing *storer.NotFoundError
		if errors.As(err, &missing) {
			return 0, stale
		}
		if err != nil {
			return 0, err
		}
		for _, gone := range d.Deletes {
			found.deletedIn[gone] = v
		}
		found.searchedTo = v
	}
	return found.deletedIn[k], nil
}

// conflict returns a *ConflictError, with the author and the time of the
// conflicting version if its delta can be read.
func (r *reducer) conflict(ctx context.Context, wanted, current *versioner.Entry, k versioner.Key, in versioner.Version) error {
	err := &ConflictError{Key: k, Base: r.change.Base, Wanted: wanted, Current: current, ChangedIn: in}
	if d, failed := r.acceptor.readDelta(ctx, r.head, in); failed == nil {
		err.By, err.At = d.Audit.Author, d.Audit.At
		if d.Audit.Partner != "" {
			err.By += " (" + d.Audit.Partner + ")"
		}
	}
	return err
}

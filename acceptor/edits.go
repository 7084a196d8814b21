package acceptor

import (
	"context"
	"errors"
	"fmt"

	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// maxBaseLag bounds the versions that one attempt searches for deletions.
const maxBaseLag = 64

// search holds the deletions that were found after the base of a change. Later
// attempts search only what is new.
type search struct {
	// to is the newest version that was searched.
	to versioner.Version
	// deletedIn holds the version of the newest deletion of each key.
	deletedIn map[versioner.Key]versioner.Version
}

// reducer finds out what a change alters in one document.
type reducer struct {
	acceptor *Acceptor
	change   *Change
	head     *Head
	doc      *versioner.Document

	upserts  []versioner.Entry
	deletes  []versioner.Key
	previous []versioner.Entry
}

// draft returns the valid document that the change leads to.
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

// reduce drops the edits that hold already, and fails with a *ConflictError for
// one that would overwrite what was changed after the base.
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

func (r *reducer) upsert(ctx context.Context, e versioner.Entry) error {
	current, ok := r.doc.Find(e.Key)
	e = r.completed(e, current)
	if !ok {
		gone, err := r.deleted(ctx, e.Key)
		if err != nil {
			return err
		}
		if gone != 0 {
			return r.conflict(ctx, &e, nil, e.Key, gone)
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

func (r *reducer) delete(ctx context.Context, k versioner.Key) error {
	current, ok := r.doc.Find(k)
	if !ok {
		gone, err := r.deleted(ctx, k)
		if err != nil {
			return err
		}
		if gone == 0 {
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

// completed returns the entry with the author and time of an exception set, and
// with the token that a partner has. A token can be replaced, but not removed.
func (r *reducer) completed(e, current versioner.Entry) versioner.Entry {
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

// deleted returns the version after the base that last deleted the key, or 0.
func (r *reducer) deleted(ctx context.Context, k versioner.Key) (versioner.Version, error) {
	found := &r.change.deletions
	if found.deletedIn == nil {
		*found = search{to: r.change.Base, deletedIn: make(map[versioner.Key]versioner.Version)}
	}
	stale := &StaleBaseError{Base: r.change.Base, Newest: r.doc.Version}
	if r.doc.Version-found.to > maxBaseLag {
		return 0, stale
	}
	for v := found.to + 1; v <= r.doc.Version; v++ {
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
		found.to = v
	}
	return found.deletedIn[k], nil
}

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

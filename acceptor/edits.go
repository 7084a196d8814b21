package acceptor

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// maxBaseLag bounds the versions that are searched for deletions since the base.
const maxBaseLag = 64

// reducer finds out what a change alters in one document.
type reducer struct {
	acceptor *Acceptor
	change   *Change
	head     *Head
	doc      *versioner.Document

	// since holds the deltas after the base once deleted has read them.
	since []versioner.Delta

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
		if gone != nil {
			return r.conflict(ctx, &e, nil, e.Key, gone.To)
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
		if gone == nil {
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

// deleted returns the newest delta after the base that deleted the key, or nil.
func (r *reducer) deleted(ctx context.Context, k versioner.Key) (*versioner.Delta, error) {
	if r.since == nil && r.change.Base < r.doc.Version {
		if err := r.readSince(ctx); err != nil {
			return nil, err
		}
	}
	for i := range r.since {
		if slices.Contains(r.since[i].Deletes, k) {
			return &r.since[i], nil
		}
	}
	return nil, nil
}

// readSince reads the deltas after the base, newest first.
func (r *reducer) readSince(ctx context.Context) error {
	stale := &StaleBaseError{Base: r.change.Base, Newest: r.doc.Version}
	if r.doc.Version-r.change.Base > maxBaseLag {
		return stale
	}
	for v := r.doc.Version; v > r.change.Base; v-- {
		d, err := r.acceptor.readDelta(ctx, r.head, v)
		var missing *storer.NotFoundError
		if errors.As(err, &missing) {
			return stale
		}
		if err != nil {
			return err
		}
		r.since = append(r.since, d)
	}
	return nil
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

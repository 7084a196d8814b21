// Package storer defines the interface through which bambooweir uses the
// platform's key-value service.
//
// The Client interface holds only the operations that bambooweir needs. Package
// platform implements it over the platform's protocol, and package fakestorer in
// memory.
package storer

import (
	"context"
	"fmt"
	"time"
)

// Revision is the position of a write in the order of all writes to the service.
// Revision 0 means that the key does not exist. A revision holds the era in which it was
// given out, so that those of a later era are higher than all of former ones.
type Revision uint64

// numberBits is the number of the low bits of a revision that hold its number within its
// era.
const numberBits = 48

// NewRevision returns the revision with a number in an era. Number 0 gives revision 0.
func NewRevision(era Era, number uint64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(uint64(era)<<numberBits | number)
}

// Era returns the era in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the revision's number within its era, as the service counts it.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// Era numbers the histories of the service. It rises when the service comes back from an
// older copy of its data: what was written since is gone then, and its revisions and lease
// IDs are given out again. Era 0 means that it is not known.
type Era uint64

// LeaseID identifies a lease. LeaseID 0 means no lease.
type LeaseID uint64

// Item is one key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Created is the revision of the write that created the key.
	Created Revision
	Lease   LeaseID
}

// Event is one change of a key.
type Event struct {
	// Item is the item after the change; for a deletion only the key and the
	// revision of the deletion are set.
	Item      Item
	IsDeleted bool
}

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Client is the platform's key-value service. All methods are safe for
// concurrent use and fail with an *UnavailableError when the service cannot be
// reached or does not respond. After that error from CompareAndSwap or Delete
// the outcome is unknown, and the write may still take effect later.
type Client interface {
	// Get returns the item, or a *NotFoundError.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// ListStale is like List, but the items may be some seconds old. It costs a tenth.
	ListStale(ctx context.Context, prefix string) ([]Item, error)
	// CompareAndSwap writes the value if the key's revision is expect, and
	// returns the new revision. It fails with a *ConflictError otherwise.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision is expect. It fails with a
	// *ConflictError otherwise.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch returns the item once its revision is greater than after. It
	// returns a *NotFoundError when wait has passed without a change.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Item, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew makes a lease expire its ttl from now, or returns a *NotFoundError.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// PrefixWatcher is a Client that also watches all keys with a prefix by one call.
type PrefixWatcher interface {
	Client
	// ListAt is like List and also returns the revision of the service at which the items
	// were read, or an earlier one.
	ListAt(ctx context.Context, prefix string) ([]Item, Revision, error)
	// AwaitChange waits until a key with the prefix has changed after the revision, and
	// returns the revision of the service then, from which the next call continues. When wait
	// has passed without a change it returns the revision with a *NotFoundError. It fails with
	// a *CompactedError if it can't know whether there was one.
	AwaitChange(ctx context.Context, prefix string, after Revision, wait time.Duration) (Revision, error)
}

// Condition is a revision that a key must have for a transaction to take effect.
type Condition struct {
	Key string
	// Revision 0 means that the key must not exist.
	Revision Revision
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is a set of writes that take effect together, if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	// Deletes lists the keys to delete; keys that do not exist are ignored.
	Deletes []string
}

// NotFoundError reports a key or lease that does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %s not found", e.Key) }

// ConflictError reports a write whose condition did not hold: a key had another
// revision than expected.
type ConflictError struct {
	Key     string
	Current Revision
	// Items holds the current items of the keys in a transaction's conditions,
	// without those that don't exist.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is at revision %d", e.Key, e.Current)
}

// CompactedError reports a watch that starts from a revision whose following
// changes the service has already compacted.
type CompactedError struct{ After Revision }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: the changes after revision %d have been compacted", e.After)
}

// UnavailableError reports a service that could not be reached or did not respond.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("store: %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

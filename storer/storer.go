// Package storer is the client side of the platform's key-value service.
//
// The Client interface is as narrow as bambooweir needs it, so that another
// protocol can stand behind it. HTTPClient speaks the protocol of the stand-in
// in package fakestorer.
package storer

import (
	"context"
	"fmt"
	"time"
)

// Revision orders the writes of the service. Revision 0 means "no such key".
type Revision uint64

// LeaseID names a lease. LeaseID 0 means "no lease".
type LeaseID uint64

// Item is one key with its value.
type Item struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Client is the platform's key-value service. All methods are safe for
// concurrent use and fail with an *UnavailableError when the service cannot be
// reached or gives no answer. After that error from CompareAndSwap or Delete
// the outcome is not known.
type Client interface {
	// Get returns the item, or a *NotFoundError.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// CompareAndSwap writes the value if the key's revision is expect, and
	// returns the new revision. It fails with a *ConflictError otherwise.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision is expect, or a *ConflictError.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch returns the item once its revision is greater than after. It
	// returns a *NotFoundError when wait has passed without a change.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Item, error)
	// Grant makes a lease that ends after ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease to its ttl from now, or returns a *NotFoundError.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// NotFoundError reports a key or lease that does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %s not found", e.Key) }

// ConflictError reports a compare-and-swap that lost.
type ConflictError struct {
	Key     string
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is at revision %d", e.Key, e.Current)
}

// UnavailableError reports a service that could not be reached or gave no answer.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("store: %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

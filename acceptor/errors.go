package acceptor

import (
	"fmt"
	"time"

	"bambooweir.example/bambooweir/versioner"
)

// ConflictError reports an edit of an entry that was changed or deleted after the
// base version of the edit. The change was not accepted.
type ConflictError struct {
	Key  versioner.Key     `json:"key"`
	Base versioner.Version `json:"base"`
	// Wanted is the value that the edit sets; nil for a delete.
	Wanted *versioner.Entry `json:"wanted,omitempty"`
	// Current is the present value of the entry; nil if it was deleted.
	Current *versioner.Entry `json:"current,omitempty"`
	// ChangedIn is the version that set Current or deleted the entry. By and At are
	// the author and the time of that version; they are zero if its record could
	// not be read, for example because the audit trail no longer holds it.
	ChangedIn versioner.Version `json:"changed-in"`
	By        string            `json:"by,omitempty"`
	At        time.Time         `json:"at,omitzero"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	what := "changed"
	if e.Current == nil {
		what = "deleted"
	}
	msg := fmt.Sprintf("%s was %s in version %d, after base version %d", e.Key, what, e.ChangedIn, e.Base)
	if e.By != "" {
		msg += fmt.Sprintf(", by %s at %s", e.By, e.At.Format(time.RFC3339))
	}
	return msg
}

// StaleBaseError reports a base version so old that Accept can't determine whether
// the edited entries were deleted since. The change was not accepted.
type StaleBaseError struct {
	Base, Newest versioner.Version
}

// Error implements error.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("base version %d is too far behind version %d", e.Base, e.Newest)
}

// UnknownOutcomeError reports a change that may or may not have been accepted.
// It is safe to repeat the change with the same change id.
type UnknownOutcomeError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// ReusedIDError reports a change id under which other edits were accepted. The
// change was not accepted.
type ReusedIDError struct {
	ChangeID string
	// Version is the version that the other edits created.
	Version versioner.Version
}

// Error implements error.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change id %s was used for other edits, accepted as version %d", e.ChangeID, e.Version)
}

// ContentionError reports a change that was not accepted, because in every attempt
// another change was accepted first.
type ContentionError struct{ Attempts int }

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("not accepted: other changes were accepted first in all %d attempts", e.Attempts)
}

// TooLargeError reports a value that exceeds the store's limit. The value was not
// written, and the change was not accepted.
type TooLargeError struct {
	What         string
	Bytes, Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s would be %d bytes, the limit is %d", e.What, e.Bytes, e.Limit)
}

// InvalidChangeError reports a change with an invalid field or edit.
type InvalidChangeError struct{ Field, Message string }

// Error implements error.
func (e *InvalidChangeError) Error() string { return e.Field + " " + e.Message }

// NoChangeError reports a change whose edits would alter nothing in the given
// version. No version was created.
type NoChangeError struct{ Version versioner.Version }

// Error implements error.
func (e *NoChangeError) Error() string {
	return fmt.Sprintf("version %d holds every edit already", e.Version)
}

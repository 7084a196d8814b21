package acceptor

import (
	"fmt"
	"time"

	"bambooweir.example/bambooweir/versioner"
)

// ConflictError reports an edit of an entry that was changed after the base
// version of the edit. The change was not accepted.
type ConflictError struct {
	Key  versioner.Key     `json:"key"`
	Base versioner.Version `json:"base"`
	// Wanted is the value that the edit sets; nil for a delete.
	Wanted *versioner.Entry `json:"wanted,omitempty"`
	// Current is the value that holds; nil when the entry was deleted.
	Current *versioner.Entry `json:"current,omitempty"`
	// ChangedIn is the version that made Current. By and At say who made it and
	// when; they are zero when the audit trail no longer holds that version.
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

// StaleBaseError reports a base version from which it can no longer be told
// whether the edited entries were deleted since. The change was not accepted.
type StaleBaseError struct {
	Base, Newest versioner.Version
}

// Error implements error.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("base version %d is too far behind version %d", e.Base, e.Newest)
}

// UnknownOutcomeError reports a change that may or may not have been accepted.
// Repeating it with the same change id is safe.
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
	// Version is what the other edits made.
	Version versioner.Version
}

// Error implements error.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change id %s was used for other edits, accepted as version %d", e.ChangeID, e.Version)
}

// ContentionError reports a change that lost against other editors in every
// attempt. It was not accepted.
type ContentionError struct{ Attempts int }

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("not accepted: %d attempts lost against other changes", e.Attempts)
}

// TooLargeError reports a value that the store would not hold. Nothing was
// written.
type TooLargeError struct {
	What         string
	Bytes, Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s would be %d bytes, the limit is %d", e.What, e.Bytes, e.Limit)
}

// InvalidChangeError reports a change that is malformed in itself.
type InvalidChangeError struct{ Field, Message string }

// Error implements error.
func (e *InvalidChangeError) Error() string { return e.Field + " " + e.Message }

// NoChangeError reports edits that all hold already. No version was made.
type NoChangeError struct{ Version versioner.Version }

// Error implements error.
func (e *NoChangeError) Error() string {
	return fmt.Sprintf("version %d holds every edit already", e.Version)
}

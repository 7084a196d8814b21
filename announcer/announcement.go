package announcer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"bambooweir.example/bambooweir/tracker"
)

const (
	maxAnnouncementBytes = 4 << 10
	maxNameLength        = 128       // bytes of the service name or run id
	maxLimit             = 100_000   // slots or connections
	maxColdMS            = 3_600_000 // one hour
	// maxEpoch and maxSequence leave room for later runs and announcements: nothing replaces
	// the highest number.
	maxEpoch    = 1 << 62
	maxSequence = 1 << 53
)

// Announcement is the JSON body by which a target describes itself to its
// daemon.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP:port at which the target accepts calls.
	Address string `json:"address"`
	// State is "warming", "ready", "draining" or "gone".
	State string `json:"state"`
	// Slots and Connections lower the limits that the configuration sets for the
	// service, for this target only; 0 keeps the configured limit.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Epoch increases with each start of the target; it may be the start time. It is at
	// most 2^62. An announcement with a lower epoch than the current one is rejected, and so
	// is a run that says that it is ready after its departure.
	Epoch uint64 `json:"epoch,omitempty"`
	// RunID identifies one run of the target. It is optional.
	RunID string `json:"run-id,omitempty"`
	// Sequence increases with each announcement of one run, up to 2^53. It is 0 if the
	// target does not number its announcements.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdMS is the time for which the target will still be slow after its
	// start, in milliseconds.
	ColdMS int `json:"cold-ms,omitempty"`
	// Version is the version of the target's software. It is optional; a roll-out finds the
	// targets of its version by it.
	Version string `json:"version,omitempty"`
}

// InvalidError reports an announcement that is malformed or has a field out of
// bounds.
type InvalidError struct {
	// Field is the invalid JSON field, or "" if the error concerns the whole
	// body.
	Field, Message string
}

// Error implements error.
func (e *InvalidError) Error() string {
	if e.Field == "" {
		return "announcement: " + e.Message
	}
	return fmt.Sprintf("announcement: %s: %s", e.Field, e.Message)
}

// StaleEpochError reports an announcement of an earlier run of the target.
type StaleEpochError struct{ Got, Newest uint64 }

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("announcement of epoch %d, but epoch %d has announced itself", e.Got, e.Newest)
}

// StaleError reports an announcement that arrived after a newer one of the same
// run, or whose run has departed or been replaced.
type StaleError struct {
	RunID string
	// Sequence is the sequence number of the rejected announcement.
	Sequence uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("announcement %d of run %q was overtaken", e.Sequence, e.RunID)
}

// decode reads and validates an announcement. It fails with an *InvalidError.
func decode(r io.Reader) (Announcement, error) {
	var in Announcement
	limited := io.LimitReader(r, maxAnnouncementBytes+1)
	b, err := io.ReadAll(limited)
	if err != nil {
		return in, &InvalidError{Message: "body was cut short"}
	}
	if len(b) > maxAnnouncementBytes {
		return in, &InvalidError{Message: fmt.Sprintf("longer than %d bytes", maxAnnouncementBytes)}
	}
	if err := unmarshalStrict(b, &in); err != nil {
		return in, err
	}
	return in, in.Validate()
}

// unmarshalStrict decodes a single JSON value without unknown fields. It fails
// with an *InvalidError.
func unmarshalStrict(b []byte, in *Announcement) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	err := dec.Decode(in)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return &InvalidError{Field: wrongType.Field, Message: "must not be a " + wrongType.Value}
	case err != nil:
		return &InvalidError{Message: err.Error()}
	case dec.More():
		return &InvalidError{Message: "more than one JSON value"}
	}
	return nil
}

// Validate returns an *InvalidError if a field is out of bounds.
func (a Announcement) Validate() error {
	if a.Service == "" || len(a.Service) > maxNameLength {
		return &InvalidError{"service", fmt.Sprintf("must have 1 to %d bytes", maxNameLength)}
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return &InvalidError{"address", fmt.Sprintf("must be IP:port, got %.80q", a.Address)}
	}
	if a.state() == 0 {
		return &InvalidError{"state", fmt.Sprintf("must be warming, ready, draining or gone, got %q", a.State)}
	}
	if a.Slots < 0 || a.Slots > maxLimit {
		return &InvalidError{"slots", fmt.Sprintf("must be 0 to %d, got %d", maxLimit, a.Slots)}
	}
	if a.Connections < 0 || a.Connections > maxLimit {
		return &InvalidError{"connections", fmt.Sprintf("must be 0 to %d, got %d", maxLimit, a.Connections)}
	}
	if a.Epoch > maxEpoch {
		return &InvalidError{"epoch", fmt.Sprintf("must be at most %d, got %d", uint64(maxEpoch), a.Epoch)}
	}
	if a.Sequence > maxSequence {
		return &InvalidError{"sequence", fmt.Sprintf("must be at most %d, got %d", uint64(maxSequence), a.Sequence)}
	}
	if len(a.RunID) > maxNameLength {
		return &InvalidError{"run-id", fmt.Sprintf("must have at most %d bytes", maxNameLength)}
	}
	if len(a.Version) > maxNameLength {
		return &InvalidError{"version", fmt.Sprintf("must have at most %d bytes", maxNameLength)}
	}
	if a.ColdMS < 0 || a.ColdMS > maxColdMS {
		return &InvalidError{"cold-ms", fmt.Sprintf("must be 0 to %d, got %d", maxColdMS, a.ColdMS)}
	}
	return nil
}

// state returns the state that State names, or 0 if the name is unknown.
func (a Announcement) state() tracker.State {
	for _, s := range []tracker.State{tracker.StateWarming, tracker.StateReady, tracker.StateDraining, tracker.StateGone} {
		if a.State == s.String() {
			return s
		}
	}
	return 0
}

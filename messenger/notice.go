package messenger

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
)

// TargetRun identifies one process lifetime of a target, as the target announced it.
// The zero value stands for a target that announces neither an ID nor an epoch.
type TargetRun struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Epoch uint64
}

// TargetNotice is what a run of a target says about itself on its answers. The zero
// value means that the target takes calls without restriction.
type TargetNotice struct {
	// Run is the run of the target that gave the notice.
	Run TargetRun `cbor:"1,keyasint"`
	// IsLimited reports whether the target limits the calls that it takes from all
	// daemons together to CallsPerSecond, which is finite and not negative.
	IsLimited      bool    `cbor:"2,keyasint,omitempty"`
	CallsPerSecond float64 `cbor:"3,keyasint,omitempty"`
	// IsLeaving reports that the target is shutting down, which a run never takes back.
	IsLeaving bool `cbor:"4,keyasint,omitempty"`
}

// HasLeft reports whether the notice says that a run is leaving that can be told apart from
// later ones: no later notice or announcement of that run counts.
func (n *TargetNotice) HasLeft() bool { return n.IsLeaving && n.Run != (TargetRun{}) }

// IsRestricting reports whether the notice restricts the calls to the target.
func (n *TargetNotice) IsRestricting() bool { return n != nil && (n.IsLimited || n.IsLeaving) }

// MalformedLimitError reports a rate limit that is not a finite number of 0 or more.
type MalformedLimitError struct{ Value string }

// Error implements error.
func (e *MalformedLimitError) Error() string {
	return fmt.Sprintf("target named the rate limit %.40q, which is not a number of calls per second", e.Value)
}

// ParseNotice reads the notice of a run from the header fields of its answer. If the
// rate limit is malformed, it fails with a *MalformedLimitError; the rest of the notice
// is valid then.
func (n HeaderNames) ParseNotice(h http.Header, run TargetRun) (TargetNotice, error) {
	names := n.WithDefaults()
	notice := TargetNotice{Run: run, IsLeaving: h.Get(names.Leaving) == "1"}
	value := h.Get(names.RateLimit)
	if value == "" {
		return notice, nil
	}
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return notice, &MalformedLimitError{Value: value}
	}
	notice.IsLimited, notice.CallsPerSecond = true, limit
	return notice, nil
}

package tracker

import (
	"fmt"
	"net"
	"strconv"
)

// Bounds on the fields of a record. The numbers leave room for later processes and records:
// nothing replaces the highest one.
const (
	maxIncarnation = 1 << 62 // in the year 2116, as nanoseconds of Unix time
	maxSequence    = 1 << 53
	maxEpoch       = 1 << 62
	maxNameLength  = 256 // bytes
	maxSlots       = 100_000
	maxColdMS      = 3_600_000
	maxLinkKbps    = 1 << 30
)

// InvalidRecordError reports a record with a field out of bounds.
type InvalidRecordError struct{ InstanceID, Field string }

// Error implements error.
func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("record of %.80q: %s is out of bounds", e.InstanceID, e.Field)
}

// Validate returns an *InvalidRecordError if a field is out of bounds.
func (r Record) Validate() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"instance-id", r.InstanceID != "" && len(r.InstanceID) <= maxNameLength},
		{"incarnation", r.Incarnation <= maxIncarnation},
		{"sequence", r.Sequence <= maxSequence},
		{"service", len(r.Service) <= maxNameLength},
		{"failure-domain", len(r.Domain) <= maxNameLength},
		{"peer-address", IsAddress(r.PeerAddress)},
		{"state", r.State >= StateReady && r.State <= StateWarming},
		{"epoch", r.Epoch <= maxEpoch},
		{"slots", r.Slots >= 0 && r.Slots <= maxSlots},
		{"cold-ms", r.ColdMS >= 0 && r.ColdMS <= maxColdMS},
		{"version", len(r.Version) <= maxNameLength},
		{"link-kbps", r.LinkKbps >= 0 && r.LinkKbps <= maxLinkKbps},
	} {
		if !f.ok {
			return &InvalidRecordError{InstanceID: r.InstanceID, Field: f.name}
		}
	}
	return nil
}

// IsAddress reports whether addr is a host and a port from 1 to 65535.
func IsAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, numErr := strconv.ParseUint(port, 10, 16)
	return err == nil && numErr == nil && n > 0 && host != "" && len(addr) <= maxNameLength
}

package tracker

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// TestRecordFieldsAreBounded guards against a record that nothing replaces, or that names no
// target that can be reached.
func TestRecordFieldsAreBounded(t *testing.T) {
	good := Record{
		InstanceID: "d1", Incarnation: 5, Sequence: 7, Service: "payout-desk", Domain: "mobile-bay",
		PeerAddress: "10.0.0.1:7101", State: StateReady, Epoch: 9, Slots: 12, ColdMS: 100, LinkKbps: 1000,
	}
	long := strings.Repeat("a", maxNameLength+1)
	tests := []struct {
		field          string
		refused, taken []func(*Record)
	}{
		{"instance-id", []func(*Record){func(r *Record) { r.InstanceID = "" }, func(r *Record) { r.InstanceID = long }}, []func(*Record){func(r *Record) { r.InstanceID = long[1:] }}},
		{"incarnation", []func(*Record){func(r *Record) { r.Incarnation = math.MaxUint64 }, func(r *Record) { r.Incarnation = maxIncarnation + 1 }}, []func(*Record){func(r *Record) { r.Incarnation = 0 }, func(r *Record) { r.Incarnation = maxIncarnation }}},
		{"sequence", []func(*Record){func(r *Record) { r.Sequence = math.MaxUint64 }, func(r *Record) { r.Sequence = maxSequence + 1 }}, []func(*Record){func(r *Record) { r.Sequence = 0 }, func(r *Record) { r.Sequence = maxSequence }}},
		{"service", []func(*Record){func(r *Record) { r.Service = long }}, []func(*Record){func(r *Record) { r.Service = "" }, func(r *Record) { r.Service = long[1:] }}},
		{"failure-domain", []func(*Record){func(r *Record) { r.Domain = long }}, []func(*Record){func(r *Record) { r.Domain = long[1:] }}},
		{
			"peer-address",
			[]func(*Record){
				func(r *Record) { r.PeerAddress = "" }, func(r *Record) { r.PeerAddress = "10.0.0.1" }, func(r *Record) { r.PeerAddress = "10.0.0.1:0" },
				func(r *Record) { r.PeerAddress = "10.0.0.1:65536" }, func(r *Record) { r.PeerAddress = ":7101" }, func(r *Record) { r.PeerAddress = "10.0.0.1:-1" },
				func(r *Record) { r.PeerAddress = "10.0.0.1:99999999999999999999" }, func(r *Record) { r.PeerAddress = long + ":1" },
			},
			[]func(*Record){func(r *Record) { r.PeerAddress = "10.0.0.1:1" }, func(r *Record) { r.PeerAddress = "[::1]:65535" }},
		},
		{"state", []func(*Record){func(r *Record) { r.State = 0 }, func(r *Record) { r.State = 5 }, func(r *Record) { r.State = math.MaxUint8 }}, []func(*Record){func(r *Record) { r.State = StateWarming }, func(r *Record) { r.State = StateGone }}},
		{"epoch", []func(*Record){func(r *Record) { r.Epoch = math.MaxUint64 }, func(r *Record) { r.Epoch = maxEpoch + 1 }}, []func(*Record){func(r *Record) { r.Epoch = 0 }, func(r *Record) { r.Epoch = maxEpoch }}},
		{"slots", []func(*Record){func(r *Record) { r.Slots = -1 }, func(r *Record) { r.Slots = maxSlots + 1 }, func(r *Record) { r.Slots = math.MaxInt }}, []func(*Record){func(r *Record) { r.Slots = 0 }, func(r *Record) { r.Slots = maxSlots }}},
		{"cold-ms", []func(*Record){func(r *Record) { r.ColdMS = -1 }, func(r *Record) { r.ColdMS = maxColdMS + 1 }}, []func(*Record){func(r *Record) { r.ColdMS = maxColdMS }}},
		{"link-kbps", []func(*Record){func(r *Record) { r.LinkKbps = -1 }, func(r *Record) { r.LinkKbps = math.MaxInt }}, []func(*Record){func(r *Record) { r.LinkKbps = 0 }, func(r *Record) { r.LinkKbps = maxLinkKbps }}},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) {
			for _, change := range tt.refused {
				r := good
				change(&r)
				var invalid *InvalidRecordError
				if err := r.Validate(); !errors.As(err, &invalid) || invalid.Field != tt.field {
					t.Errorf("%+v: got error %v, want one of %s", r, err, tt.field)
				}
			}
			for _, change := range tt.taken {
				r := good
				change(&r)
				if err := r.Validate(); err != nil {
					t.Errorf("%+v: got error %v, want none", r, err)
				}
			}
		})
	}
}

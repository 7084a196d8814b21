package canarier

import (
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/fakestorer"
)

// TestOrders gives orders that are repeated, changed, impossible, or lost by the store.
func TestOrders(t *testing.T) {
	order := Order{Service: testService, Version: "v2", Duration: testDuration}
	end := func(f *fleet) { f.playUntil(time.Minute, func() bool { return f.isOver("v2") }) }
	for name, tc := range map[string]struct {
		play        func(f *fleet)
		isBad       bool
		service     string
		want        State
		reason      string
		wantVersion string
	}{
		"given twice while it runs": {
			play: func(f *fleet) {
				f.playUntil(6*time.Second, func() bool { return false })
				f.order(order)
				f.playUntil(11*time.Second, func() bool { return f.isOver("v2") })
			},
			want: StateCompleted, wantVersion: "v2",
		},
		"given again after its end": {
			play: func(f *fleet) {
				end(f)
				f.order(order)
				f.playUntil(3*time.Second, func() bool { return false })
			},
			want: StateCompleted, wantVersion: "v2",
		},
		"given again after a roll-back": {
			play: func(f *fleet) {
				end(f)
				f.order(order)
				f.playUntil(30*time.Second, func() bool { return false })
			},
			isBad: true, want: StateRolledBack, reason: ReasonFailures, wantVersion: "v2",
		},
		"changed to another version": {
			play: func(f *fleet) {
				f.playUntil(6*time.Second, func() bool { return false })
				f.addTargets("v3")
				f.order(Order{Service: testService, Version: "v3", Duration: testDuration})
				f.playUntil(time.Minute, func() bool { return f.isOver("v3") })
				if !f.entry.IsBarred(testService, "v2") {
					f.t.Error("got the replaced order's version in use, want it barred")
				}
			},
			want: StateCompleted, wantVersion: "v3",
		},
		"for a version without targets": {
			play: func(f *fleet) {
				f.order(Order{Service: testService, Version: "v9", Duration: testDuration})
				f.playUntil(time.Minute, func() bool { return f.isOver("v9") })
			},
			want: StateRolledBack, reason: ReasonNoTargets, wantVersion: "v9",
		},
		"for an unknown service": {
			play: func(f *fleet) {
				f.order(Order{Service: "unknown", Version: "v2", Duration: testDuration})
				f.playUntil(10*time.Second, func() bool { return f.status("unknown").State.IsFinal() })
			},
			service: "unknown", want: StateRolledBack, reason: ReasonUnknownService, wantVersion: "v2",
		},
		"invalid, for the version that serves": {
			play: func(f *fleet) {
				end(f)
				f.order(Order{Service: testService, Version: "v2"})
				f.playUntil(3*time.Second, func() bool { return false })
				if f.entry.IsBarred(testService, "v2") {
					f.t.Error("got the version that serves barred by an invalid order, want it in use")
				}
			},
			want: StateRolledBack, reason: ReasonInvalid, wantVersion: "v2",
		},
		"corrected, for the version that serves": {
			play: func(f *fleet) {
				end(f)
				f.removeTargets("v1")
				f.order(Order{Service: testService, Version: "v2"})
				f.playUntil(3*time.Second, func() bool { return false })
				f.order(order)
				f.playUntil(3*time.Second, func() bool {
					if v := f.entry.Versions(testService, false); v.Split != nil && !v.UseNew {
						f.t.Fatalf("got %+v, want the service's only version in use", v)
					}
					return false
				})
			},
			want: StateCompleted, wantVersion: "v2",
		},
		"while the store is away": {
			play: func(f *fleet) {
				f.playUntil(9*time.Second, func() bool { return false })
				f.setFault(fakestorer.Fault{IsDown: true})
				f.playUntil(5*time.Second, func() bool { return false })
				f.setFault(fakestorer.Fault{})
				end(f)
			},
			want: StateCompleted, wantVersion: "v2",
		},
		"lost by a restored store": {
			play: func(f *fleet) {
				before := f.store.Copy()
				end(f)
				f.store.Restore(before)
				f.isRestored = true
				f.order(order)
				f.playUntil(5*time.Second, func() bool { return f.status(testService).State.IsFinal() })
			},
			isBad: true, want: StateRolledBack, reason: ReasonBarred, wantVersion: "v2",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, func(n int) bool { return tc.isBad && n%2 == 0 })
				f.addTargets("v2")
				f.playUntil(2*time.Second, func() bool { return false })
				f.order(order)
				f.playUntil(time.Second, func() bool { return false })
				tc.play(f)
				service := tc.service
				if service == "" {
					service = testService
				}
				if got := f.status(service); got.State != tc.want || got.Reason != tc.reason || got.Version != tc.wantVersion {
					t.Errorf("got status %+v, want %v of %q, reason %q", got, tc.want, tc.wantVersion, tc.reason)
				}
				if tc.isBad {
					f.checkExposure()
				}
			})
		})
	}
}

// isOver reports whether the entry daemon knows that the order for a version has ended.
func (f *fleet) isOver(version string) bool {
	d, _ := f.entry.Known(testService)
	return d.State.IsFinal() && d.Version == version
}

// setFault gives all relays the fault in their calls of the store.
func (f *fleet) setFault(fault fakestorer.Fault) {
	for _, r := range f.relays {
		r.faults.Set(fault)
	}
}

// TestServiceThatHasMovedIsNotHeld guards against an outage when the operators order the
// version that all targets of the service already have.
func TestServiceThatHasMovedIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, func(int) bool { return false })
		f.order(Order{Service: testService, Version: "v1", Duration: testDuration})
		f.playUntil(5*time.Second, func() bool {
			if v := f.entry.Versions(testService, false); v.Split != nil && !v.UseNew {
				t.Fatalf("got %+v, want the service's only version in use", v)
			}
			return false
		})
		if got := f.status(testService); got.State != StateCompleted {
			t.Errorf("got status %+v, want completed", got)
		}
	})
}

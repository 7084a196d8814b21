package quoter

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// newTestHome returns the home of testTenant among ten settled daemons, and its rivals, the
// highest first. The other daemons reply unless they are in silent.
func newTestHome(limit Limit, silent map[string]bool) (q *Quoter, rivals []string, members *Members) {
	members = &Members{Ready: []string{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8", "d9"}}
	top := order(testTenant, members.Ready)
	q = &Quoter{
		InstanceID: top[0],
		Members:    func() *Members { return members },
		Limit:      func(string) (Limit, bool) { return limit, true },
		Send: func(ctx context.Context, to string, _ Ask) (Reply, error) {
			if silent[to] {
				<-ctx.Done()
				return Reply{}, ctx.Err()
			}
			return Reply{IsIdle: true}, nil
		},
	}
	q.SetBounds(testBounds)
	q.ObserveMembers()
	time.Sleep(10 * time.Second)
	return q, top[1:], members
}

// grantFor asks for more than the limit for a time and returns what the home granted.
func grantFor(q *Quoter, askers []string, d time.Duration) int {
	granted := 0
	for i := range int(d / (10 * time.Millisecond)) {
		granted += q.Handle(context.Background(), askers[i%len(askers)], Ask{Tenant: testTenant, Need: 9, Want: 9}).Granted
		time.Sleep(10 * time.Millisecond)
	}
	return granted
}

// TestHomeStopsWhenItIsReplaced guards against two homes: the former one hands over what is
// left and sends askers on, until they can't reach the new home.
func TestHomeStopsWhenItIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		silent := make(map[string]bool)
		q, rivals, _ := newTestHome(Limit{RatePerS: 1, Burst: 20}, silent)
		ask := Ask{Tenant: testTenant, Need: 5, Want: 5}
		if got := q.Handle(ctx, rivals[1], ask); got.Granted != 5 {
			t.Fatalf("home: got %+v, want 5 grants", got)
		}
		got := q.Handle(ctx, rivals[0], Ask{Tenant: testTenant, TakesOver: true})
		if got.Level == nil || *got.Level != 20 {
			t.Errorf("handed over: got %+v, want the level 25 - 5", got)
		}
		if got := q.Handle(ctx, rivals[1], ask); got.IsDecided || got.Home != rivals[0] {
			t.Errorf("former home: got %+v, want the new home", got)
		}
		silent[rivals[0]], ask.Skipped = true, rivals[:1]
		if got, want := q.Handle(ctx, rivals[1], ask), int(testBounds.startLevel()); !got.IsDecided || got.Granted != want {
			t.Errorf("former home, the new one silent: got %+v, want %d grants, not the old bucket", got, want)
		}
		time.Sleep(time.Second) // probes end
	})
}

// TestHomeGrantsAPartWhileARivalIsSilent guards against two homes that both grant the whole
// rate while their tables don't yet show that the network is split.
func TestHomeGrantsAPartWhileARivalIsSilent(t *testing.T) {
	for _, tt := range []struct {
		rivals, least, most int
	}{{0, 95, 105}, {1, 45, 60}, {2, 30, 43}} {
		synctest.Test(t, func(t *testing.T) {
			silent := make(map[string]bool)
			q, rivals, members := newTestHome(Limit{RatePerS: 100}, silent)
			for _, id := range rivals[:tt.rivals] {
				silent[id] = true
			}
			askers := slices.DeleteFunc(slices.Clone(members.Ready), func(id string) bool { return id == q.InstanceID || silent[id] })
			grantFor(q, askers, 2*time.Second)
			if got := grantFor(q, askers, time.Second); got < tt.least || got > tt.most {
				t.Errorf("grants in 1 s with %d silent rivals: got %d, want %d to %d", tt.rivals, got, tt.least, tt.most)
			}
		})
	}
}

// TestBucketIsCutWhenLostInstancesReturn guards against a full bucket at the end of a split,
// in which another home has granted the same calls.
func TestBucketIsCutWhenLostInstancesReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, rivals, members := newTestHome(Limit{RatePerS: 1, Burst: 50}, nil)
		ask := Ask{Tenant: testTenant, Need: 1, Want: 1}
		q.Handle(context.Background(), rivals[0], ask)
		members.Returns++
		ask.Need, ask.Want = 50, 50
		if got, want := q.Handle(context.Background(), rivals[0], ask).Granted, int(testBounds.startLevel()); got != want {
			t.Errorf("grants after a return: got %d, want %d", got, want)
		}
	})
}

// TestGrantsExpire guards against grants that are used long after the home counted them.
func TestGrantsExpire(t *testing.T) {
	var s stash
	now := time.Now()
	s.put(now, 2, now.Add(250*time.Millisecond))
	if !s.take(now) || s.take(now.Add(250*time.Millisecond)) || s.take(now) {
		t.Error("take: got another result than a grant at once and none 250 ms later")
	}
}

// TestDaemonWithoutHomeUsesItsShare guards against daemons that are cut off and together admit
// more than the rate.
func TestDaemonWithoutHomeUsesItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{RatePerS: 100}
		q, rivals, members := newTestHome(limit, nil)
		q.InstanceID = rivals[1]
		q.Send = func(ctx context.Context, _ string, _ Ask) (Reply, error) {
			<-ctx.Done()
			return Reply{}, ctx.Err()
		}
		// The daemon itself is not ready, so it is no home.
		members.Ready = slices.DeleteFunc(slices.Clone(members.Ready), func(id string) bool { return id == q.InstanceID })
		admitted := 0
		for began := time.Now(); time.Since(began) < testBounds.Window; {
			if _, err := q.Admit(context.Background(), testTenant, limit); err == nil {
				admitted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted < 20 || admitted > 100*5/len(members.Ready) {
			t.Errorf("admitted in 5 s without a home: got %d, want 20 to %d", admitted, 100*5/len(members.Ready))
		}
	})
}

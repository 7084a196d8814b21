package limiter

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/versioner"
)

const (
	lookup       = versioner.ClassLookup
	posting      = versioner.ClassPosting
	scan         = versioner.ClassScan
	internalRead = versioner.ClassInternalRead
)

// applyConfig applies a configuration with two equal partners and one service.
func applyConfig(t testing.TB, a *applier.Applier, slots int) {
	t.Helper()
	base := new(versioner.Document)
	if s := a.Current(); s != nil {
		base = s.Document
	}
	entries := []versioner.Entry{
		{Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: &versioner.Partner{SharePercent: 50}},
		{Key: versioner.Key{Kind: versioner.KindPartner, Name: "regie"}, Partner: &versioner.Partner{SharePercent: 50}},
		{Key: versioner.Key{Kind: versioner.KindService, Name: "ledger-view"}, Service: &versioner.Service{Partner: "magnolia", Slots: slots}},
	}
	if _, err := a.Offer(base.With(entries, nil)); err != nil {
		t.Fatal(err)
	}
}

// newLimiter returns a limiter with 12 slots and two equal partners.
func newLimiter(t testing.TB) *Limiter {
	t.Helper()
	l := &Limiter{Applier: new(applier.Applier), Service: func() string { return "ledger-view" }}
	applyConfig(t, l.Applier, 12)
	return l
}

// mustAdmit admits n calls and fails the test if one of them has to wait.
func mustAdmit(t *testing.T, l *Limiter, n int, r Request) []Slot {
	t.Helper()
	var slots []Slot
	for i := range n {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		start := time.Now()
		slot, err := l.Admit(ctx, r)
		cancel()
		if err != nil || time.Since(start) > 0 {
			t.Fatalf("call %d of %+v: got error %v after %v, want a slot at once", i+1, r, err, time.Since(start))
		}
		slots = append(slots, slot)
	}
	return slots
}

// wantRefused checks that a call is refused for the given cause.
func wantRefused(t *testing.T, l *Limiter, r Request, cause string) {
	t.Helper()
	slot, err := l.Admit(t.Context(), r)
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Cause != cause {
		slot.Release()
		t.Errorf("%+v: got error %v, want refusal %s", r, err, cause)
	}
}

// setMeanRun sets the mean run time of a class by running one call.
func setMeanRun(t *testing.T, l *Limiter, name string, run time.Duration) {
	t.Helper()
	slot := mustAdmit(t, l, 1, Request{Class: name, Partner: "magnolia"})[0]
	time.Sleep(run)
	slot.Release()
}

// TestReservedSlotsStayFree checks that general calls leave the reserved slots free,
// and that a partner gets its own reserved slot back after lending it.
func TestReservedSlotsStayFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t) // 2 reserved for internal reads, 10 general
		mustAdmit(t, l, 10, Request{Class: lookup, Partner: "magnolia"})
		// The other partner's reserved slot is lent while it sends no call of the class.
		held := mustAdmit(t, l, 2, Request{Class: internalRead, Partner: "magnolia"})
		wantRefused(t, l, Request{Class: internalRead, Partner: "regie"}, CauseNoSlot)
		held[0].Release()
		wantRefused(t, l, Request{Class: internalRead, Partner: "magnolia"}, CauseNoSlot)
		mustAdmit(t, l, 1, Request{Class: internalRead, Partner: "regie"})
		wantRefused(t, l, Request{Class: internalRead, Partner: "regie"}, CauseNoSlot)
		if got := l.Load(); got.Running != 12 || got.Waiting != 0 {
			t.Errorf("load: got %+v, want 12 running and none waiting", got)
		}
	})
}

// TestLenderWaitsForOneBorrowedCall guards against a partner whose guaranteed slots
// are lent having to wait for more than one running borrowed call.
func TestLenderWaitsForOneBorrowedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		setMeanRun(t, l, lookup, time.Millisecond)
		borrowed := mustAdmit(t, l, 10, Request{Class: lookup, Partner: "magnolia"})
		waiting := admitInBackground(l, Request{Class: lookup, Partner: "magnolia"}, 3)
		own := admitInBackground(l, Request{Class: lookup, Partner: "regie"}, 1)
		synctest.Wait()
		borrowed[0].Release()
		synctest.Wait()
		if len(own) != 1 || len(waiting) != 0 {
			t.Errorf("after one release: got %d own and %d borrowed, want 1 and 0", len(own), len(waiting))
		}
		time.Sleep(time.Second) // lets the waiting calls expire
	})
}

// admitInBackground requests n slots in the background. The returned channel
// receives the slots that are granted.
func admitInBackground(l *Limiter, r Request, n int) chan Slot {
	admitted := make(chan Slot, n)
	for range n {
		go func() {
			if slot, err := l.Admit(context.Background(), r); err == nil {
				admitted <- slot
			}
		}()
	}
	return admitted
}

func TestLongCallsBorrowFromSilentPartnersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		mustAdmit(t, l, 1, Request{Class: internalRead, Partner: "regie"})[0].Release()
		mustAdmit(t, l, 5, Request{Class: scan, Partner: "magnolia"})
		got := admitInBackground(l, Request{Class: scan, Partner: "magnolia"}, 1)
		synctest.Wait()
		if len(got) != 0 {
			t.Errorf("scan beyond its partner's share while another partner is active: got admitted, want waiting")
		}
		mustAdmit(t, l, 5, Request{Class: scan, Partner: "regie"})
		time.Sleep(activeWindow)
	})
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		mustAdmit(t, l, 1, Request{Class: internalRead, Partner: "regie"})[0].Release()
		time.Sleep(activeWindow)
		mustAdmit(t, l, 10, Request{Class: scan, Partner: "magnolia"})
	})
}

// TestQueueBounds checks that waiting lookups are limited in number and time. By
// default, 16 lookups may wait, each for up to 50 ms.
func TestQueueBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		held := mustAdmit(t, l, 10, Request{Class: lookup, Partner: "magnolia"})
		admitted := admitInBackground(l, Request{Class: lookup, Partner: "magnolia"}, 16)
		synctest.Wait()
		wantRefused(t, l, Request{Class: lookup, Partner: "magnolia"}, CauseQueueFull)
		if got := l.Load().Waiting; got != 16 {
			t.Errorf("waiting: got %d, want 16", got)
		}
		time.Sleep(51 * time.Millisecond)
		if got := l.Load().Waiting; got != 0 || len(admitted) != 0 {
			t.Errorf("after the queue time: got %d waiting and %d admitted, want none", got, len(admitted))
		}
		time.Sleep(time.Second)
		for _, slot := range held {
			slot.Release()
		}
		// The mean run time is now known and exceeds the queue time.
		mustAdmit(t, l, 10, Request{Class: lookup, Partner: "magnolia"})
		wantRefused(t, l, Request{Class: lookup, Partner: "magnolia"}, CauseExpectedWait)
	})
}

func TestDeadlineBoundsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		held := mustAdmit(t, l, 10, Request{Class: posting, Partner: "magnolia"})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := l.Admit(ctx, Request{Class: posting, Partner: "regie"})
		var refused *RefusedError
		if !errors.As(err, &refused) || time.Since(start) != 20*time.Millisecond {
			t.Errorf("got %v after %v, want a refusal after 20ms", err, time.Since(start))
		}
		if _, err := l.Admit(ctx, Request{Class: internalRead, Partner: "regie"}); !errors.As(err, &refused) || refused.Cause != CauseDeadline {
			t.Errorf("after the deadline: got %v, want refusal %s", err, CauseDeadline)
		}
		held[0].Release()
		if got := l.Load(); got.Running != 9 || got.Waiting != 0 {
			t.Errorf("load: got %+v, want 9 running and none waiting", got)
		}
	})
}

// TestChangedLimitsKeepWaitingCalls checks that a change of the number of slots
// neither drops waiting calls nor admits more calls than the new number.
func TestChangedLimitsKeepWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		held := mustAdmit(t, l, 10, Request{Class: lookup, Partner: "magnolia"})
		admitted := admitInBackground(l, Request{Class: lookup, Partner: "magnolia"}, 4)
		synctest.Wait()
		applyConfig(t, l.Applier, 16) // 3 reserved, 13 general
		l.Update()
		synctest.Wait()
		if got := l.Load(); len(admitted) != 3 || got.Waiting != 1 {
			t.Errorf("with 16 slots: got %d admitted and %d waiting, want 3 and 1", len(admitted), got.Waiting)
		}
		applyConfig(t, l.Applier, 6) // 1 reserved, 5 general
		for _, slot := range held[:8] {
			slot.Release()
		}
		synctest.Wait()
		if got := l.Load(); got.Running != 5 || got.Waiting != 1 {
			t.Errorf("with 6 slots: got %+v, want 5 running and 1 waiting", got)
		}
		held[8].Release()
		synctest.Wait()
		if len(admitted) != 4 {
			t.Errorf("after one more release: got %d admitted, want 4", len(admitted))
		}
	})
}

func TestAnnouncedSlotsLowerTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		announced := 4
		l.Announced = func() int { return announced }
		mustAdmit(t, l, 3, Request{Class: lookup, Partner: "magnolia"})
		mustAdmit(t, l, 1, Request{Class: internalRead, Partner: "magnolia"})
		wantRefused(t, l, Request{Class: internalRead, Partner: "magnolia"}, CauseNoSlot)
		announced = 100
		mustAdmit(t, l, 7, Request{Class: lookup, Partner: "magnolia"})
		if got := l.Load().Slots; got != 12 {
			t.Errorf("slots: got %d, want the 12 of the configuration", got)
		}
	})
}

func TestApportion(t *testing.T) {
	for _, tt := range []struct {
		slots    int
		percents []int
		want     []int
	}{
		{10, []int{50, 50}, []int{5, 5}},
		{13, []int{50, 50}, []int{7, 6}},
		{10, []int{60, 30}, []int{6, 3}},
		{10, []int{0, 0}, []int{5, 5}},
		{10, []int{98, 1, 1}, []int{8, 1, 1}},
		{2, []int{100, 100}, []int{1, 1}},
		{1, []int{50, 50}, []int{1, 0}},
		{0, []int{50, 50}, []int{0, 0}},
	} {
		var shares []applier.Share
		for _, percent := range tt.percents {
			shares = append(shares, applier.Share{Percent: percent})
		}
		got := apportion(tt.slots, shares)
		for i := range tt.want {
			if got[i] != tt.want[i] {
				t.Errorf("apportion(%d, %v): got %v, want %v", tt.slots, tt.percents, got, tt.want)
				break
			}
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	l := newLimiter(b)
	b.ReportAllocs()
	for b.Loop() {
		slot, err := l.Admit(b.Context(), Request{Class: lookup, Partner: "magnolia"})
		if err != nil {
			b.Fatal(err)
		}
		slot.Release()
	}
}

// applyOnePartnerConfig applies a configuration with one partner and no reserved
// slots.
func applyOnePartnerConfig(t testing.TB, a *applier.Applier, slots int) {
	t.Helper()
	none := 0
	entries := []versioner.Entry{
		{Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: &versioner.Partner{SharePercent: 100}},
		{Key: versioner.Key{Kind: versioner.KindClass, Name: internalRead}, Class: &versioner.Class{ReservedPercent: &none}},
		{Key: versioner.Key{Kind: versioner.KindService, Name: "ledger-view"}, Service: &versioner.Service{Partner: "magnolia", Slots: slots}},
	}
	remove := []versioner.Key{{Kind: versioner.KindPartner, Name: "regie"}}
	if _, err := a.Offer(a.Current().Document.With(entries, remove)); err != nil {
		t.Fatal(err)
	}
}

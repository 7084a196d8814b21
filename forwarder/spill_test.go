package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"

	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/throttler"
)

// Calls that find no room near must not be carried to a failure domain that refuses nearly all
// of them; those that are held back are refused as not-run at once, with a time to come back.
func TestFullDomainGetsFewCalls(t *testing.T) {
	runInMesh(t, []string{"far"}, func(t *testing.T, m *mesh) {
		m.forwarder.Picker.Domain = "near"
		m.forwarder.Throttler = throttler.Throttler{Ratio: 2, Random: rand.New(rand.NewPCG(3, 4)).Float64}
		arrived, isFull := 0, true
		m.targets["far"].executor.Admit = func(_ context.Context, call *messenger.Call) (func(), *messenger.Answer) {
			arrived++
			if !isFull {
				return func() {}, nil
			}
			refusal := messenger.NotRun(call.ID, limiter.CauseExpectedWait)
			refusal.RetryAfterMS = 700
			return nil, refusal
		}
		const calls = 40
		for range calls {
			wantResponse(t, m.call(m.ctx, "/postings", "1"), "503", "not-run")
		}
		if arrived > calls/2 {
			t.Errorf("calls that reached the full domain: got %d of %d, want at most half", arrived, calls)
		}
		isFull = false
		answered := 0
		for range 20 * calls {
			if m.call(m.ctx, "/postings", "2").status == http.StatusOK {
				answered++
			}
		}
		if answered < 10*calls {
			t.Errorf("calls answered once there was room: got %d of %d, want at least half", answered, 20*calls)
		}
	})
}

package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/applier"
)

// A request that arrives before the first configuration must wait for it, within limits,
// and not send its caller away for longer than the configuration takes.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	tests := []struct {
		name string
		// comes is when the configuration comes; 0 means never.
		comes time.Duration
		// arrives is when the request arrives after the first one.
		arrives  time.Duration
		statedMS string
		leaves   time.Duration // when the caller leaves; 0 means never
		// want is the status, and wantTook when the answer is given.
		want     int
		wantTook time.Duration
	}{
		{name: "comes in time", comes: 700 * time.Millisecond, want: http.StatusOK, wantTook: 700 * time.Millisecond},
		{name: "comes in time for the stated time left", comes: 700 * time.Millisecond, statedMS: "4000", want: http.StatusOK, wantTook: 700 * time.Millisecond},
		{name: "too late for the stated time left", comes: 700 * time.Millisecond, statedMS: "900", want: http.StatusServiceUnavailable, wantTook: 300 * time.Millisecond},
		{name: "malformed time left", comes: 300 * time.Millisecond, statedMS: "soon", want: http.StatusBadRequest, wantTook: 300 * time.Millisecond},
		{name: "never comes", want: http.StatusServiceUnavailable, wantTook: startupWait},
		{name: "arrives late in the startup", arrives: 1500 * time.Millisecond, want: http.StatusServiceUnavailable, wantTook: 500 * time.Millisecond},
		{name: "arrives after the startup", arrives: 3 * time.Second, want: http.StatusServiceUnavailable, wantTook: 0},
		{name: "caller leaves", comes: time.Second, leaves: 200 * time.Millisecond, want: http.StatusServiceUnavailable, wantTook: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer stop()
				m := newMesh(ctx, t, "t1")
				doc := m.forwarder.Applier.Current().Document
				f := m.forwarder
				f.Applier = new(applier.Applier)
				if tt.comes > 0 {
					time.AfterFunc(tt.comes, func() {
						if _, err := f.Applier.Offer(doc); err != nil {
							t.Error(err)
						}
					})
				}
				request := func(ctx context.Context) int {
					r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/lookups", nil)
					if tt.statedMS != "" {
						r.Header.Set(f.Headers.WithDefaults().Deadline, tt.statedMS)
					}
					w := httptest.NewRecorder()
					f.ServeHTTP(w, r)
					return w.Code
				}
				f.startup.began.Store(time.Now().Add(-tt.arrives).UnixNano())
				callerCtx, leave := context.WithCancel(ctx)
				defer leave()
				if tt.leaves > 0 {
					time.AfterFunc(tt.leaves, leave)
				}
				start := time.Now()
				if got := request(callerCtx); got != tt.want {
					t.Errorf("status: got %d, want %d", got, tt.want)
				}
				if took := time.Since(start); took != tt.wantTook {
					t.Errorf("answered after %v, want %v", took, tt.wantTook)
				}
			})
		})
	}
}

// Requests beyond the bound must be refused at once, and those within it served.
func TestRequestsThatWaitForConfigurationAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Forwarder{Applier: new(applier.Applier)}
		var wg sync.WaitGroup
		refusedAtOnce := 0
		var mu sync.Mutex
		start := time.Now()
		for range maxStartupWaiting + 10 {
			wg.Go(func() {
				w := httptest.NewRecorder()
				f.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/lookups", nil))
				mu.Lock()
				defer mu.Unlock()
				if w.Code != http.StatusServiceUnavailable {
					t.Errorf("status: got %d, want %d", w.Code, http.StatusServiceUnavailable)
				}
				if time.Since(start) == 0 {
					refusedAtOnce++
				}
			})
		}
		wg.Wait()
		if refusedAtOnce != 10 {
			t.Errorf("refused at once: got %d, want 10", refusedAtOnce)
		}
	})
}

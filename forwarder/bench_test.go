package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/logger"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/versioner"
)

// BenchmarkCall measures a whole call over loopback: caller, entry daemon, call
// link, target's daemon, target; and the same call made directly.
func BenchmarkCall(b *testing.B) {
	answer := strings.Repeat("x", 512)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, answer)
	}))
	defer target.Close()
	m := newMesh(b.Context(), b, "a")
	x := &executor.Executor{InstanceID: "a", Incarnation: 1, Target: func() string { return target.URL }}
	far := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		link, err := messenger.Accept(w, r)
		if err != nil {
			return
		}
		_ = x.Serve(b.Context(), link)
	}))
	defer far.Close()
	for _, path := range []string{"direct", "link", "local"} {
		b.Run(path, func(b *testing.B) {
			url := target.URL
			if path != "direct" {
				m.forwarder.Dial = nil
				m.forwarder.InstanceID, m.forwarder.RunLocal = "", nil
				if path == "local" {
					m.forwarder.InstanceID, m.forwarder.RunLocal = "a", x.Run
				}
				r := m.table.Service("payout-desk")[0]
				r.Sequence++
				r.PeerAddress = far.Listener.Addr().String()
				m.table.Merge(append(m.table.All()[:0:0], r))
				entry := httptest.NewServer(m.forwarder)
				defer entry.Close()
				url = entry.URL
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := getOK(url + "/lookups/7"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRefusedCall measures what logging adds to the cost of a refused call:
// without a log, with one that drops all but a few lines, and with one that writes
// every line.
func BenchmarkRefusedCall(b *testing.B) {
	bounded, err := logger.New(io.Discard, "info")
	if err != nil {
		b.Fatal(err)
	}
	defer bounded.Close(time.Second)
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	every := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zap.InfoLevel))
	for _, tt := range []struct {
		name string
		log  *zap.Logger
	}{{"off", nil}, {"bounded", bounded.Logger}, {"every-line", every}} {
		b.Run(tt.name, func(b *testing.B) {
			m := newMesh(b.Context(), b)
			m.forwarder.Log = tt.log
			b.ReportAllocs()
			for b.Loop() {
				if got := m.call(b.Context(), "/lookups", ""); got.status != http.StatusServiceUnavailable {
					b.Fatalf("got %d, want 503", got.status)
				}
			}
		})
	}
}

// BenchmarkAuthenticate measures what tenants add to a call at its entry daemon: the check
// of its key alone, and with the fields that are sent on, which are made in any case.
func BenchmarkAuthenticate(b *testing.B) {
	for _, tenants := range []int{0, 74, 100_000} {
		m := newMesh(b.Context(), b)
		entries, keys := make([]versioner.Entry, tenants), []string{"none"}
		for i := range entries {
			keys = append(keys, fmt.Sprintf("%032d", i))
			entries[i] = tenantEntry(fmt.Sprintf("tenant-%06d", i), keys[i+1])
		}
		snapshot, err := applier.Build(&versioner.Document{Version: 2, Entries: slices.Concat(m.forwarder.Applier.Current().Document.Entries, entries)}, "")
		if err != nil {
			b.Fatal(err)
		}
		route := snapshot.Route("a", "/lookups", http.MethodPost)
		h := http.Header{"Bambooweir-Api-Key": {""}, "Bambooweir-Tenant": {"other"}, "Accept": {"*/*"}}
		for _, part := range []string{"key", "key-and-fields"} {
			b.Run(fmt.Sprintf("%s/%d", part, tenants), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					h["Bambooweir-Api-Key"][0] = keys[min(1, tenants)+i%max(1, tenants)]
					tenant, ok := m.forwarder.authenticate(h, snapshot, route)
					if !ok {
						b.Fatal("got no tenant, want one")
					}
					if part != "key" {
						_ = m.forwarder.forwardedHeaders(h, snapshot, tenant)
					}
				}
			})
		}
	}
}

// getOK requests url and fails unless the response is 200 with a body of 512 bytes.
func getOK(url string) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err == nil && (n != 512 || res.StatusCode != http.StatusOK) {
		err = fmt.Errorf("status %d, %d bytes", res.StatusCode, n)
	}
	return err
}

package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/logger"
	"bambooweir.example/bambooweir/messenger"
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
				if err := get(url + "/lookups/7"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRefusedCall measures what the logs cost a call that is refused: without
// a log, with one that drops all but a few lines, and with one that writes every
// line.
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

func get(url string) error {
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

// Package logger writes structured logs that never hold a call up.
//
// Each line is one event: a stable name as its message, stable keys, and the
// instance that writes it. Lines of one event beyond its rate are dropped and
// counted, and so are lines for which a slow reader leaves no room; the next
// line of the event tells how many.
package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// eventRate and eventBurst bound the lines of one event: twenty a second show
	// what happens, and a daemon has few events that come together.
	eventRate  = 20
	eventBurst = 60
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 1024
)

// Log is the log of one process.
type Log struct {
	*zap.Logger
	// Level may be changed at any time.
	Level zap.AtomicLevel
	sink  *sink
}

// New returns a log that writes JSON lines to w. It fails with an unknown level.
func New(w io.Writer, level string) (*Log, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	s := &sink{lines: make(chan []byte, queueLines), w: w, done: make(chan struct{})}
	go s.run()
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey = "time", "event"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, parsed)
	limited := &limiter{Core: core, buckets: &buckets{byEvent: make(map[string]*bucket)}}
	return &Log{Logger: zap.New(limited), Level: parsed, sink: s}, nil
}

// Lost returns the number of lines for which a slow reader left no room.
func (l *Log) Lost() int64 { return l.sink.lost.Load() }

// Close waits for at most the time until the lines are written.
func (l *Log) Close(wait time.Duration) {
	l.sink.close()
	select {
	case <-l.sink.done:
	case <-time.After(wait):
	}
}

// sink writes lines from a goroutine of its own.
type sink struct {
	lines chan []byte
	w     io.Writer
	done  chan struct{}
	lost  atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// Write implements zapcore.WriteSyncer. It never waits.
func (s *sink) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.lost.Add(1)
		return len(b), nil
	}
	select {
	case s.lines <- line:
	default:
		s.lost.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *sink) Sync() error { return nil }

func (s *sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if _, err := s.w.Write(line); err != nil {
			// Nobody reads: there is no place to tell of it but the count.
			s.lost.Add(1)
		}
	}
}

func (s *sink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
}

// limiter bounds the lines of each event.
type limiter struct {
	zapcore.Core
	buckets *buckets
}

type buckets struct {
	mu      sync.Mutex
	byEvent map[string]*bucket
}

type bucket struct {
	tokens  float64
	at      time.Time
	dropped int64
}

// With implements zapcore.Core.
func (l *limiter) With(fields []zapcore.Field) zapcore.Core {
	return &limiter{Core: l.Core.With(fields), buckets: l.buckets}
}

// Check implements zapcore.Core.
func (l *limiter) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return ce.AddCore(e, l)
	}
	return ce
}

// Write implements zapcore.Core.
func (l *limiter) Write(e zapcore.Entry, fields []zapcore.Field) error {
	dropped, ok := l.buckets.take(e.Message, e.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		fields = append(fields, zap.Int64("dropped", dropped))
	}
	return l.Core.Write(e, fields)
}

// take returns whether the event may be written, and how many were dropped
// since it last was.
func (b *buckets) take(event string, now time.Time) (dropped int64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.byEvent[event]
	if k == nil {
		k = &bucket{tokens: eventBurst, at: now}
		b.byEvent[event] = k
	}
	k.tokens = min(eventBurst, k.tokens+max(0, now.Sub(k.at).Seconds())*eventRate)
	k.at = now
	if k.tokens < 1 {
		k.dropped++
		return 0, false
	}
	k.tokens--
	dropped, k.dropped = k.dropped, 0
	return dropped, true
}

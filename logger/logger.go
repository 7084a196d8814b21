// Package logger writes structured logs without ever blocking a call.
//
// Each line is one event: a stable name as its message, stable keys, and the
// instance that writes it. Lines of one event above its rate limit are dropped; the
// next line of the event holds their number under the key dropped. Lines are also
// dropped while the queue to a slow reader is full; Lost counts these.
package logger

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// eventRate, in lines a second, and eventBurst, in lines, limit the lines of one
	// event. 20 lines a second are enough to show what happens, and keep the whole log
	// small, since few events of a daemon occur at the same time.
	eventRate  = 20
	eventBurst = 60
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 1024
)

// Log is the log of one process.
type Log struct {
	*zap.Logger
	// Level is the lowest level that is logged. It may be changed at any time.
	Level zap.AtomicLevel
	sink  *sink
}

// New returns a log that writes JSON lines to w. It fails if the level is unknown.
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

// LostLines counts the log lines of this process that were not written.
var LostLines expvar.Int

// Lost returns the number of lines that were not written: the queue was full, the log
// was closed, or the write failed.
func (l *Log) Lost() int64 { return l.sink.lost.Load() }

// Close stops the log and waits for up to the given time until the queued lines are
// written.
func (l *Log) Close(wait time.Duration) {
	l.sink.close()
	select {
	case <-l.sink.done:
	case <-time.After(wait):
	}
}

// sink queues lines and writes them from its own goroutine.
type sink struct {
	lines chan []byte
	w     io.Writer
	done  chan struct{}
	lost  atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (s *sink) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.countLost()
		return len(b), nil
	}
	select {
	case s.lines <- line:
	default:
		s.countLost()
	}
	return len(b), nil
}

// countLost counts a line that was not written.
func (s *sink) countLost() {
	s.lost.Add(1)
	LostLines.Add(1)
}

// Sync implements zapcore.WriteSyncer.
func (s *sink) Sync() error { return nil }

// run writes the queued lines until the sink is closed and the queue is empty.
func (s *sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if _, err := s.w.Write(line); err != nil {
			// The log itself can't be written, so the count is the only place to
			// report this.
			s.countLost()
		}
	}
}

// close makes run return once it has written the queued lines. Lines that are written
// to the sink later are counted as lost.
func (s *sink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
}

// limiter is a core that limits the rate of each event.
type limiter struct {
	zapcore.Core
	buckets *buckets
}

// buckets holds a token bucket for each event.
type buckets struct {
	mu      sync.Mutex
	byEvent map[string]*bucket
}

// bucket is a token bucket. One token is one line.
type bucket struct {
	// tokens is the number of tokens at the time at.
	tokens float64
	at     time.Time
	// dropped counts the lines dropped since the event was last written.
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

// take takes a token for a line of the event. It returns whether the line may be
// written and, if so, how many were dropped since the event was last written.
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

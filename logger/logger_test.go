package logger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// lines decodes the JSON lines of a log.
func lines(t *testing.T, b *bytes.Buffer) []map[string]any {
	t.Helper()
	var out []map[string]any
	for line := range strings.Lines(b.String()) {
		fields := make(map[string]any)
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		out = append(out, fields)
	}
	return out
}

func TestLinesOfOneEventAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		log, err := New(&b, "info")
		if err != nil {
			t.Fatal(err)
		}
		for i := range 1000 {
			log.Info("call-refused", zap.Int("i", i))
		}
		log.Info("stopped")
		time.Sleep(time.Second)
		log.Info("call-refused", zap.Int("i", 1000))
		log.Close(time.Second)
		got := lines(t, &b)
		if want := eventBurst + 2; len(got) != want {
			t.Fatalf("lines: got %d, want %d", len(got), want)
		}
		if got := got[eventBurst]["event"]; got != "stopped" {
			t.Errorf("another event: got %v, want stopped", got)
		}
		if got, want := got[eventBurst+1]["dropped"], float64(1000-eventBurst); got != want {
			t.Errorf("dropped: got %v, want %v", got, want)
		}
	})
}

// stuckWriter is a writer that blocks until release is closed.
type stuckWriter struct{ release chan struct{} }

func (s stuckWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestSlowReaderDoesNotBlock guards against calls that wait for a reader of the log
// that does not read: lines beyond the queue must be dropped and counted. Many events
// share the lines, so that no event reaches its rate limit.
func TestSlowReaderDoesNotBlock(t *testing.T) {
	s := stuckWriter{make(chan struct{})}
	log, err := New(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		for j := range 2 * queueLines / 100 {
			log.Info(fmt.Sprintf("event-%d", i), zap.Int("j", j))
		}
	}
	if got := log.Lost(); got == 0 {
		t.Error("lost lines: got 0, want some")
	}
	close(s.release)
	log.Close(time.Minute)
}

func TestLevelMayChange(t *testing.T) {
	var b bytes.Buffer
	log, err := New(&b, "warn")
	if err != nil {
		t.Fatal(err)
	}
	log.Info("stopped")
	log.Level.SetLevel(zap.InfoLevel)
	log.Info("stop-begun")
	log.Close(time.Minute)
	if got := lines(t, &b); len(got) != 1 || got[0]["event"] != "stop-begun" {
		t.Errorf("lines: got %v, want stop-begun alone", got)
	}
	if _, err := New(&b, "loud"); err == nil {
		t.Error("level loud: got no error, want one")
	}
}

var (
	callSyntax  = regexp.MustCompile(`\.(?:Info|Warn|Error)\(\s*"([^"]+)"`)
	eventSyntax = regexp.MustCompile(`event = "([a-z-]+)"`)
)

// TestEventsMatchTheCode checks that the table holds exactly the events that the code
// logs. It finds them in the sources of all packages.
func TestEventsMatchTheCode(t *testing.T) {
	inCode := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, syntax := range []*regexp.Regexp{callSyntax, eventSyntax} {
			for _, m := range syntax.FindAllSubmatch(b, -1) {
				inCode[string(m[1])] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	inTable := make(map[string]bool)
	for _, e := range Events() {
		inTable[e.Name] = true
		if !inCode[e.Name] {
			t.Errorf("event %s is in the table, but not in the code", e.Name)
		}
	}
	for name := range inCode {
		if !inTable[name] {
			t.Errorf("event %s is in the code, but not in the table", name)
		}
	}
}

// TestLogsPage compares docs/LOGS.md with the table, row by row.
func TestLogsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	for _, e := range Events() {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s |", e.Name, e.Doc, e.Keys))
	}
	if !slices.Equal(got, want) {
		t.Errorf("rows of docs/LOGS.md: got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

package explainer

import (
	"strings"
	"testing"
)

const testLog = `   4.0264 sidecar-a {"level":"info","time":"2026-12-04T07:00:02.5Z","event":"call-refused","instance":"a","request-id":"r1","cause":"expected-wait","status":503}
not a line of a log
   4.0100 sidecar-a {"level":"info","time":"2026-12-04T07:00:02.1Z","event":"attempt-failed","instance":"a","request-id":"r1","cause":"expected-wait","target":"b"}
{"level":"info","time":"2026-12-04T07:00:02Z","event":"version-in-force","instance":"a","version":3}
{"level":"info","time":"2026-12-04T07:00:02.3Z","event":"call-late","instance":"b","request-id":"r1.7","cause":""}
{"level":"info","time":"2026-12-04T07:00:02.4Z","event":"call-late","instance":"b","request-id":"r12","cause":"other"}
`

// TestExplain checks that events from several logs are sorted by time, that nested
// requests are included and requests whose IDs only start alike are not, and that the
// cause is that of the request itself.
func TestExplain(t *testing.T) {
	half := strings.Index(testLog, "not a line")
	timeline, err := Explain("r1", strings.NewReader(testLog[half:]), strings.NewReader(testLog[:half]))
	if err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, l := range timeline.Lines {
		events = append(events, l.Event)
	}
	if got, want := strings.Join(events, " "), "attempt-failed call-late call-refused"; got != want {
		t.Errorf("events: got %s, want %s", got, want)
	}
	if timeline.Cause != "expected-wait" || timeline.SkippedLines != 1 {
		t.Errorf("got cause %q and %d skipped lines, want expected-wait and 1", timeline.Cause, timeline.SkippedLines)
	}
	var b strings.Builder
	if err := timeline.Write(&b); err != nil {
		t.Fatal(err)
	}
	if got := b.String(); !strings.HasSuffix(got, "cause: expected-wait\n") || !strings.Contains(got, "nested=7") {
		t.Errorf("got %q, want the nested request and the cause in the last line", got)
	}
}

func TestExplainWithoutLines(t *testing.T) {
	timeline, err := Explain("r9", strings.NewReader(testLog))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := timeline.Write(&b); err != nil {
		t.Fatal(err)
	}
	if got := b.String(); !strings.Contains(got, "no line names the request") {
		t.Errorf("got %q, want the message that no line names the request", got)
	}
}

// A line that is too long must be skipped as one, with its end, which may look like an event.
func TestTooLongLine(t *testing.T) {
	event := `{"time":"2026-01-02T03:04:05Z","event":"call-late","request-id":"r1"}`
	log := strings.Repeat("x", 3*maxLineBytes) + event + "\n" + event + "\n"
	timeline, err := Explain("r1", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if len(timeline.Lines) != 1 || timeline.SkippedLines != 1 {
		t.Errorf("got %d lines and %d skipped, want 1 and 1", len(timeline.Lines), timeline.SkippedLines)
	}
}

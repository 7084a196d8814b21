// Package explainer collects the events of one request from the logs of daemons.
package explainer

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line. A longer line is skipped.
const maxLineBytes = 1 << 20

// Line is one event of a request.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    string    `json:"event"`
	// RequestID is the ID of the request itself or of a nested request.
	RequestID string `json:"request-id"`
	// Fields holds the line's other keys.
	Fields map[string]any `json:"fields"`
}

// Timeline holds the events of one request in the logs.
type Timeline struct {
	RequestID string `json:"request-id"`
	// Lines is sorted by time. The times come from the clocks of several instances.
	Lines []Line `json:"lines"`
	// Cause is the cause in the last line of the request itself that has one; it is
	// "" when none does.
	Cause string `json:"cause"`
	// SkippedLines counts the lines that were not events or longer than maxLineBytes.
	SkippedLines int `json:"passed-over"`
}

// commonKeys holds the keys that Fields leaves out.
var commonKeys = []string{"time", "level", "event", "instance", "request-id", "caller"}

// Explain reads logs and returns the timeline of the request with the id, nested
// requests included. A line may have any text before its JSON object.
func Explain(id string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{RequestID: id}
	for _, log := range logs {
		r := bufio.NewReaderSize(log, maxLineBytes)
		isRest := false // the text is the rest of a line that was too long
		for {
			text, isCut, err := r.ReadLine()
			if err == io.EOF {
				break
			}
			if err != nil {
				return nil, err
			}
			if !isRest && (isCut || !t.addLine(text)) {
				t.SkippedLines++
			}
			isRest = isCut
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range t.Lines {
		if cause, ok := l.Fields["cause"].(string); ok && l.RequestID == id {
			t.Cause = cause
		}
	}
	return t, nil
}

// addLine adds a log line if it belongs to the request, and reports whether the line
// is an event.
func (t *Timeline) addLine(text []byte) bool {
	at := slices.Index(text, '{')
	if at < 0 {
		return false
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[at:], &fields) != nil {
		return false
	}
	event, ok := fields["event"].(string)
	if !ok {
		return false
	}
	id, _ := fields["request-id"].(string)
	if id != t.RequestID && !strings.HasPrefix(id, t.RequestID+".") {
		return true
	}
	l := Line{Event: event, RequestID: id, Fields: fields}
	l.Instance, _ = fields["instance"].(string)
	if stamp, ok := fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, stamp)
	}
	for _, key := range commonKeys {
		delete(fields, key)
	}
	t.Lines = append(t.Lines, l)
	return true
}

// Write prints the timeline, one event per line, with the cause in the last line.
func (t *Timeline) Write(w io.Writer) error {
	for _, l := range t.Lines {
		var b strings.Builder
		fmt.Fprintf(&b, "%s  %-24s %-22s", l.Time.Format("15:04:05.000"), l.Instance, l.Event)
		if l.RequestID != t.RequestID {
			fmt.Fprintf(&b, " nested=%s", strings.TrimPrefix(l.RequestID, t.RequestID+"."))
		}
		for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := l.Fields[key]; v != "" {
				fmt.Fprintf(&b, " %s=%v", key, v)
			}
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "cause:", cmp.Or(t.Cause, t.missingCause()))
	return err
}

// missingCause returns the text that Write prints in place of a cause if there is none.
func (t *Timeline) missingCause() string {
	if len(t.Lines) == 0 {
		return "no line names the request: it ended without an event worth logging, or its lines were dropped (see the dropped counts)"
	}
	return "none given; the last line says how it ended"
}

// Package explainer tells the story of one request from the logs of daemons.
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

// maxLineBytes bounds one line of a log; longer ones are passed over.
const maxLineBytes = 1 << 20

// Line is one event of a request.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    string    `json:"event"`
	// RequestID is the request's own, or that of a nested request.
	RequestID string `json:"request-id"`
	// Fields holds what else the line says.
	Fields map[string]any `json:"fields"`
}

// Story is what the logs tell of one request.
type Story struct {
	RequestID string `json:"request-id"`
	// Lines are in the order of their times, which are those of several clocks.
	Lines []Line `json:"lines"`
	// Cause is the cause that the request's last line gives, "" when no line does.
	Cause string `json:"cause"`
	// Passed counts lines that were no events.
	Passed int `json:"passed-over"`
}

// common holds the keys that are not repeated in Fields.
var common = []string{"time", "level", "event", "instance", "request-id", "caller"}

// Explain reads logs and returns the story of the request with the id, nested
// requests included. A line may have anything before its JSON object.
func Explain(id string, logs ...io.Reader) (*Story, error) {
	s := &Story{RequestID: id}
	for _, log := range logs {
		r := bufio.NewReaderSize(log, maxLineBytes)
		for {
			text, isCut, err := r.ReadLine()
			if err == io.EOF {
				break
			}
			if err != nil {
				return nil, err
			}
			if isCut || !s.take(text) {
				s.Passed++
			}
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range s.Lines {
		if cause, ok := l.Fields["cause"].(string); ok && l.RequestID == id {
			s.Cause = cause
		}
	}
	return s, nil
}

// take adds the line if it is one of the request, and says whether it was an event.
func (s *Story) take(text []byte) bool {
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
	if id != s.RequestID && !strings.HasPrefix(id, s.RequestID+".") {
		return true
	}
	l := Line{Event: event, RequestID: id, Fields: fields}
	l.Instance, _ = fields["instance"].(string)
	if stamp, ok := fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, stamp)
	}
	for _, key := range common {
		delete(fields, key)
	}
	s.Lines = append(s.Lines, l)
	return true
}

// Write prints the story, one line an event and the cause in the last line.
func (s *Story) Write(w io.Writer) error {
	for _, l := range s.Lines {
		var b strings.Builder
		fmt.Fprintf(&b, "%s  %-24s %-22s", l.Time.Format("15:04:05.000"), l.Instance, l.Event)
		if l.RequestID != s.RequestID {
			fmt.Fprintf(&b, " nested=%s", strings.TrimPrefix(l.RequestID, s.RequestID+"."))
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
	_, err := fmt.Fprintln(w, "cause:", cmp.Or(s.Cause, s.without()))
	return err
}

// without says what the absence of a cause means.
func (s *Story) without() string {
	if len(s.Lines) == 0 {
		return "no line names the request: it went as usual, or its lines were dropped (see the dropped counts)"
	}
	return "none given; the last line says how it ended"
}

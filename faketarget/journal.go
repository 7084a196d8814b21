package faketarget

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

// EventKind says what an event of the journal records.
type EventKind string

// The kinds of events.
const (
	EventStarted EventKind = "started"
	EventRun     EventKind = "run"
	EventDrained EventKind = "drained"
)

// Event is one line of a target's journal, which outlives a crash.
type Event struct {
	Kind EventKind `json:"kind"`
	At   time.Time `json:"at"`
	// Run is set in events of EventRun only.
	Run *Run `json:"run,omitempty"`
}

// log adds an event to the journal. The caller holds mu.
func (t *Target) log(e Event) {
	if t.Journal == nil {
		return
	}
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = t.Journal.Write(append(b, '\n'))
}

// ReadJournal returns the events of a journal. A last line that was cut by the
// end of the process is left out.
func ReadJournal(r io.Reader) ([]Event, error) {
	var events []Event
	dec := json.NewDecoder(r)
	for {
		var e Event
		err := dec.Decode(&e)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return events, nil
		}
		if err != nil {
			return nil, errorx.Decorate(err, "reading journal")
		}
		events = append(events, e)
	}
}

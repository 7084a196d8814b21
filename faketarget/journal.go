package faketarget

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

// EventKind is the kind of a journal event.
type EventKind string

// The kinds of events.
const (
	EventStarted EventKind = "started"
	EventRun     EventKind = "run"
	EventDrained EventKind = "drained"
)

// Event is one line of a target's journal, which survives a crash of the target.
type Event struct {
	Kind EventKind `json:"kind"`
	At   time.Time `json:"at"`
	// Run is set for EventRun only.
	Run *Run `json:"run,omitempty"`
}

// appendEvent writes an event to the journal, if there is one. The caller holds mu.
func (t *Target) appendEvent(e Event) {
	if t.Journal == nil {
		return
	}
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = t.Journal.Write(append(b, '\n'))
}

// ReadJournal returns the events of a journal. It ignores a last line that is
// incomplete because the process ended while writing it.
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

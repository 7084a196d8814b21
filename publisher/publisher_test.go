package publisher

import (
	"expvar"
	"testing"
)

type counters struct {
	LeasesTaken expvar.Int
	Links       struct{ HTTPErrors expvar.Int }
	Name        string
	hidden      expvar.Int
}

func TestCounters(t *testing.T) {
	var c counters
	m := Counters(&c)
	c.LeasesTaken.Add(2)
	c.Links.HTTPErrors.Add(1)
	c.hidden.Add(1)
	if got, want := m.String(), `{"leases-taken": 2, "links": {"http-errors": 1}}`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestPublishReplaces checks that publishing an instance again replaces its metrics,
// and that Remove removes them. An expvar variable of its own for each instance would
// panic the second time and could not be removed.
func TestPublishReplaces(t *testing.T) {
	for range 2 {
		Publish("d1", Counters(new(counters)))
	}
	Publish("d2", new(expvar.Map).Init())
	Remove("d2")
	if got, want := expvar.Get(Name).String(), `{"d1": {"leases-taken": 0, "links": {"http-errors": 0}}}`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

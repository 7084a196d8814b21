package checker

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// pollInterval is the time between two polls of a daemon, and the pause after a
	// failed watch of the store; pollTimeout bounds one poll.
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Recorder collects the records of a fleet while it runs. The zero value is ready
// to use. A Recorder is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	records Records
}

// WatchDaemon polls a daemon for the versions that it puts in force and records
// them, until ctx ends.
func (r *Recorder) WatchDaemon(ctx context.Context, name, operatorURL string) {
	for ctx.Err() == nil {
		r.PollDaemon(ctx, name, operatorURL)
		_ = sleeper.Sleep(ctx, pollInterval)
	}
}

// PollDaemon records the versions that a daemon has put in force so far. It
// records nothing if the daemon does not answer.
func (r *Recorder) PollDaemon(ctx context.Context, name, operatorURL string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operatorURL+operator.AppliedPath, nil)
	if err != nil {
		return
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	var answer operator.AppliedAnswer
	if json.NewDecoder(res.Body).Decode(&answer) == nil {
		r.addApplied(name, answer.Applied)
	}
}

// addApplied appends the elements of history that are newer than the newest one
// recorded. A restarted daemon starts a new history, whose times are newer.
func (r *Recorder) addApplied(name string, history []applier.Applied) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records.Applied == nil {
		r.records.Applied = make(map[string][]applier.Applied)
	}
	known := r.records.Applied[name]
	for _, a := range history {
		if len(known) == 0 || a.At.After(known[len(known)-1].At) {
			known = append(known, a)
		}
	}
	r.records.Applied[name] = known
}

// WatchStore watches the head in the store and records the accepted versions,
// until ctx ends.
func (r *Recorder) WatchStore(ctx context.Context, store storer.Client) {
	var after storer.Revision
	for ctx.Err() == nil {
		item, err := store.Watch(ctx, acceptor.HeadKey, after, time.Second)
		if err != nil {
			_ = sleeper.Sleep(ctx, pollInterval)
			continue
		}
		after = item.Revision
		if head, err := acceptor.DecodeHead(item.Value); err == nil {
			r.addHead(ctx, store, head)
		}
	}
}

// addHead records the versions of a head and of its recent deltas, and the head's
// document if it can be read.
func (r *Recorder) addHead(ctx context.Context, store storer.Client, head acceptor.Head) {
	doc, err := acceptor.ReadDocument(ctx, store, head)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records.Accepted == nil {
		r.records.Accepted = make(map[versioner.Version]versioner.Digest)
		r.records.ChangeIDs = make(map[versioner.Version]string)
	}
	r.records.Accepted[head.Version] = head.Digest
	for _, d := range head.Recent {
		r.records.Accepted[d.To] = d.ToDigest
		r.records.ChangeIDs[d.To] = d.Audit.ChangeID
	}
	if err == nil {
		r.records.Documents = append(r.records.Documents, doc)
	}
}

// AddResults records completed calls.
func (r *Recorder) AddResults(result ...caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Results = append(r.records.Results, result...)
}

// AddChange records a completed change.
func (r *Recorder) AddChange(result caller.ChangeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Changes = append(r.records.Changes, result)
}

// NewestVersion returns the newest accepted version that was read from the store,
// or 0.
func (r *Recorder) NewestVersion() versioner.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest versioner.Version
	for v := range r.records.Accepted {
		newest = max(newest, v)
	}
	return newest
}

// AddStop records the planned stop of a daemon.
func (r *Recorder) AddStop(daemon string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Stops = append(r.records.Stops, Stop{Daemon: daemon, At: time.Now()})
}

// MarkFaultsInjected records that something other than a planned stop was done to the
// fleet.
func (r *Recorder) MarkFaultsInjected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.FaultsInjected = true
}

// AddJournal records the events in a target's journal file. A missing file counts
// as an empty journal.
func (r *Recorder) AddJournal(name, path string) error {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	events, err := faketarget.ReadJournal(f)
	if err != nil {
		return err
	}
	r.AddEvents(name, events)
	return nil
}

// AddEvents replaces the recorded events of a target by events, which must hold
// all of them in order.
func (r *Recorder) AddEvents(name string, events []faketarget.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Targets = slices.DeleteFunc(r.records.Targets, func(t Target) bool { return t.Name == name })
	target := Target{Name: name}
	for _, e := range events {
		switch e.Kind {
		case faketarget.EventStarted:
			r.records.Targets = append(r.records.Targets, target)
			target = Target{Name: name}
		case faketarget.EventDrained:
			target.Drained = e.At
		case faketarget.EventRun:
			target.Runs = append(target.Runs, *e.Run)
		}
	}
	r.records.Targets = append(r.records.Targets, target)
}

// Check returns every violation in the records so far.
func (r *Recorder) Check() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Check(&r.records)
}

// OutcomeCounts returns the number of completed calls by outcome.
func (r *Recorder) OutcomeCounts() map[caller.Outcome]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[caller.Outcome]int)
	for _, result := range r.records.Results {
		counts[result.Outcome]++
	}
	return counts
}

// CauseCounts returns the number of calls that ended as not-run or unknown, by
// "OUTCOME/CAUSE".
func (r *Recorder) CauseCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int)
	for _, result := range r.records.Results {
		if result.Outcome == caller.NotRun || result.Outcome == caller.Unknown {
			counts[string(result.Outcome)+"/"+result.Cause]++
		}
	}
	return counts
}

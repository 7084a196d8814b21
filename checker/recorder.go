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
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Recorder gathers the records of a fleet while it runs. The zero value works.
type Recorder struct {
	mu      sync.Mutex
	records Records
}

// WatchDaemon records the versions that a daemon puts in force, until ctx ends.
func (r *Recorder) WatchDaemon(ctx context.Context, name, operatorURL string) {
	for ctx.Err() == nil {
		r.PollDaemon(ctx, name, operatorURL)
		_ = sleeper.Sleep(ctx, pollInterval)
	}
}

// PollDaemon records what a daemon has put in force by now, if it answers.
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

// addApplied adds what is newer than the records; a restarted daemon starts a
// new history, whose times are newer.
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

// WatchStore records the accepted versions, until ctx ends.
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

func (r *Recorder) addHead(ctx context.Context, store storer.Client, head acceptor.Head) {
	doc, err := acceptor.ReadDocument(ctx, store, head)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records.Accepted == nil {
		r.records.Accepted = make(map[versioner.Version]versioner.Digest)
		r.records.Makers = make(map[versioner.Version]string)
	}
	r.records.Accepted[head.Version] = head.Digest
	for _, d := range head.Recent {
		r.records.Accepted[d.To] = d.ToDigest
		r.records.Makers[d.To] = d.Audit.ChangeID
	}
	if err == nil {
		r.records.Documents = append(r.records.Documents, doc)
	}
}

// AddResults records the ends of calls.
func (r *Recorder) AddResults(told ...caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Told = append(r.records.Told, told...)
}

// AddChange records the end of a change.
func (r *Recorder) AddChange(told caller.ToldChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Changes = append(r.records.Changes, told)
}

// Newest returns the newest accepted version that was seen.
func (r *Recorder) Newest() versioner.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest versioner.Version
	for v := range r.records.Accepted {
		newest = max(newest, v)
	}
	return newest
}

// AddStop records a planned stop.
func (r *Recorder) AddStop(daemon string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Stops = append(r.records.Stops, Stop{Daemon: daemon, At: time.Now()})
}

// MarkFaultsInjected records that something other than a planned stop was done.
func (r *Recorder) MarkFaultsInjected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Unplanned = true
}

// AddJournal records the events of a target's journal; a missing file has none.
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

// AddEvents records all events of a target, in their order, in place of those
// recorded before.
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

// Check returns every violation that the records show so far.
func (r *Recorder) Check() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Check(&r.records)
}

// Counts returns the number of calls by the outcome that was told.
func (r *Recorder) Counts() map[caller.Outcome]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[caller.Outcome]int)
	for _, told := range r.records.Told {
		counts[told.Outcome]++
	}
	return counts
}

// Causes returns the number of calls told not-run or unknown, by the outcome and
// cause as "outcome/cause".
func (r *Recorder) Causes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int)
	for _, told := range r.records.Told {
		if told.Outcome == caller.NotRun || told.Outcome == caller.Unknown {
			counts[string(told.Outcome)+"/"+told.Cause]++
		}
	}
	return counts
}

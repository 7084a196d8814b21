// Package checker decides from records whether the promises towards callers
// and operators were kept.
//
// Records come from outside the code that they judge: versions from the
// daemons' status, runs from the targets, told outcomes from the callers, and
// accepted versions from the store.
package checker

import (
	"fmt"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/versioner"
)

// Invariant names one promise.
type Invariant string

// The invariants.
const (
	VersionsOnlyRise  Invariant = "versions-only-rise"
	VersionsWhole     Invariant = "versions-whole"
	ReferencesClosed  Invariant = "references-closed"
	RunsAtMostOnce    Invariant = "runs-at-most-once"
	NotRunIsTrue      Invariant = "not-run-is-true"
	AnswersWhole      Invariant = "answers-whole"
	AnswersOwn        Invariant = "answers-own"
	DrainedGetsNoWork Invariant = "drained-gets-no-work"
	StopsCutNothing   Invariant = "stops-cut-nothing"
	ChangesToldTruly  Invariant = "changes-told-truly"
)

// Invariants returns the names of all invariants.
func Invariants() []Invariant {
	return []Invariant{
		VersionsOnlyRise, VersionsWhole, ReferencesClosed, RunsAtMostOnce, NotRunIsTrue,
		AnswersWhole, AnswersOwn, DrainedGetsNoWork, StopsCutNothing,
		ChangesToldTruly,
	}
}

// DrainBound is the time after which a drained target must get no new work.
const DrainBound = 3 * time.Second

// Target holds the records of one target. A restarted target is another.
type Target struct {
	Name string
	// Drained is when the target had announced that it leaves; zero if it had not.
	Drained time.Time
	Runs    []faketarget.Run
}

// Stop is one planned stop of a daemon.
type Stop struct {
	Daemon string
	At     time.Time
}

// Records is everything that was seen of one fleet.
type Records struct {
	// Applied holds the versions that each daemon put in force, in their order,
	// across restarts.
	Applied map[string][]applier.Applied
	// Accepted holds the digest of each accepted version that was seen.
	Accepted map[versioner.Version]versioner.Digest
	// Documents holds the documents that the store was seen to hold.
	Documents []*versioner.Document
	Targets   []Target
	Told      []caller.Result
	// Changes holds what operators were told, Makers the change id that made each
	// version.
	Changes []caller.ToldChange
	Makers  map[versioner.Version]string
	Stops   []Stop
	// Unplanned says that something other than planned stops was done to the
	// fleet, so that calls may be lost for another reason.
	Unplanned bool
}

// Violation is one broken promise.
type Violation struct {
	Invariant Invariant
	// Subject is the daemon, target or call concerned.
	Subject string
	Detail  string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Invariant, v.Subject, v.Detail)
}

// Check returns every violation that the records show.
func Check(r *Records) []Violation {
	c := &check{records: r, runs: countRuns(r.Targets)}
	c.versions()
	c.documents()
	c.changes()
	c.calls()
	c.keys()
	c.drains()
	c.stops()
	return c.violations
}

type check struct {
	records    *Records
	runs       map[string]int
	violations []Violation
}

func (c *check) add(i Invariant, subject, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: i, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

func countRuns(targets []Target) map[string]int {
	runs := make(map[string]int)
	for _, t := range targets {
		for _, run := range t.Runs {
			runs[run.CallID]++
		}
	}
	return runs
}

// versions checks each daemon's history against itself and what was accepted.
func (c *check) versions() {
	seen := make(map[versioner.Version]string)
	for v, d := range c.records.Accepted {
		seen[v] = d.String()
	}
	for daemon, history := range c.records.Applied {
		var last versioner.Version
		for _, a := range history {
			if a.Version < last {
				c.add(VersionsOnlyRise, daemon, "version %d in force after version %d", a.Version, last)
			}
			last = a.Version
			want, ok := seen[a.Version]
			if !ok {
				seen[a.Version] = a.Digest
				continue
			}
			if a.Digest != want {
				c.add(VersionsWhole, daemon, "version %d has digest %s, want %s", a.Version, a.Digest, want)
			}
		}
	}
}

// documents checks that no route in force points at something absent.
func (c *check) documents() {
	inForce := make(map[string]bool)
	for _, history := range c.records.Applied {
		for _, a := range history {
			inForce[a.Digest] = true
		}
	}
	for _, doc := range c.records.Documents {
		digest, err := doc.Digest()
		if err != nil || !inForce[digest.String()] {
			continue
		}
		subject := fmt.Sprintf("version %d", doc.Version)
		for _, e := range doc.Entries {
			if e.Route == nil {
				continue
			}
			key := versioner.Key{Kind: versioner.KindService, Name: e.Route.Service}
			if _, ok := doc.Find(key); !ok {
				c.add(ReferencesClosed, subject, "%s points at the absent %s", e.Key, key)
			}
		}
	}
}

// changes holds what operators were told against what was accepted.
func (c *check) changes() {
	versions := make(map[string]versioner.Version)
	for v, id := range c.records.Makers {
		versions[id] = v
	}
	for _, told := range c.records.Changes {
		id := told.Change.ID
		v, made := versions[id]
		switch {
		case told.Outcome == caller.NotAccepted && made:
			c.add(ChangesToldTruly, id, "made version %d, the operator was told not-accepted (%s)", v, told.Cause)
		case told.Outcome == caller.Accepted && c.records.Makers[told.Version] != id:
			c.add(ChangesToldTruly, id, "the operator was told of version %d, which %q made", told.Version, c.records.Makers[told.Version])
		}
	}
}

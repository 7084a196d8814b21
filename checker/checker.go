// Package checker decides, from the records of a test run, whether a fleet kept
// its guarantees to callers and operators. Scenarios, the soak run and the
// demonstration use it.
//
// The records come from outside the code under test, wherever possible: runs from
// the targets, outcomes from the callers and operators, and accepted versions
// from the store. Only the versions in force are reported by the daemons.
package checker

import (
	"fmt"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/versioner"
)

// Invariant is the name of one guarantee.
type Invariant string

// The invariants.
const (
	// VersionsOnlyRise: a daemon never puts a version in force that is older than
	// its previous one, not even after a restart.
	VersionsOnlyRise Invariant = "versions-only-rise"
	// VersionsWhole: a version in force has the digest of the accepted version or,
	// if that digest is not known, the same digest on all daemons.
	VersionsWhole Invariant = "versions-whole"
	// ReferencesClosed: every route in force names a service of the same version.
	ReferencesClosed Invariant = "references-closed"
	// RunsAtMostOnce: a posting, and all calls with one idempotency key together,
	// run at most once.
	RunsAtMostOnce Invariant = "runs-at-most-once"
	// NotRunIsTrue: a call that ended as not-run or unreachable did not run.
	NotRunIsTrue Invariant = "not-run-is-true"
	// AnswersWhole: an answer below status 500 is complete.
	AnswersWhole Invariant = "answers-whole"
	// AnswersOwn: an answer below status 500 belongs to the call that receives it.
	AnswersOwn Invariant = "answers-own"
	// DrainedGetsNoWork: a target gets no new calls later than DrainGracePeriod
	// after its drain.
	DrainedGetsNoWork Invariant = "drained-gets-no-work"
	// StopsCutNothing: planned stops interrupt no call.
	StopsCutNothing Invariant = "stops-cut-nothing"
	// ChangesToldTruly: the outcome that an operator receives agrees with the
	// accepted versions.
	ChangesToldTruly Invariant = "changes-told-truly"
	// TenantsToldTruly: a target that runs a call with an API key is told the tenant that
	// holds the key, and is never told the key. Calls whose key no tenant holds don't run.
	TenantsToldTruly Invariant = "tenants-told-truly"
)

// Invariants returns the names of all invariants.
func Invariants() []Invariant {
	return []Invariant{
		VersionsOnlyRise, VersionsWhole, ReferencesClosed, RunsAtMostOnce, NotRunIsTrue,
		AnswersWhole, AnswersOwn, DrainedGetsNoWork, StopsCutNothing,
		ChangesToldTruly, TenantsToldTruly,
	}
}

// DrainGracePeriod is the time after a target's drain during which it may still
// get new calls.
const DrainGracePeriod = 3 * time.Second

// Target holds the records of one run of a target process. A restart begins
// another Target of the same name.
type Target struct {
	Name string
	// Drained is when the target had announced its drain to its daemon; it is zero
	// if there was no drain.
	Drained time.Time
	Runs    []faketarget.Run
}

// Stop is one planned stop of a daemon.
type Stop struct {
	Daemon string
	At     time.Time
}

// Records is everything that was recorded of one fleet.
type Records struct {
	// Applied holds the versions that each daemon put in force, by the daemon's
	// name, in order and across restarts.
	Applied map[string][]applier.Applied
	// Accepted holds the digest of each accepted version that was read from the
	// store.
	Accepted map[versioner.Version]versioner.Digest
	// Documents holds the documents that were read from the store.
	Documents []*versioner.Document
	Targets   []Target
	Results   []caller.Result
	// Changes holds the outcomes that operators received.
	Changes []caller.ChangeResult
	// ChangeIDs holds the ID of the change that created each accepted version.
	ChangeIDs map[versioner.Version]string
	Stops     []Stop
	// FaultsInjected reports whether anything other than planned stops was done to
	// the fleet, so that calls may be lost for another reason.
	FaultsInjected bool
}

// Violation is one case in which an invariant did not hold.
type Violation struct {
	Invariant Invariant
	// Subject names what broke the invariant: a daemon, target, call, idempotency
	// key, version or change.
	Subject string
	Detail  string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Invariant, v.Subject, v.Detail)
}

// Check returns every violation that the records show.
func Check(r *Records) []Violation {
	c := &checkRun{records: r, runs: countRuns(r.Targets)}
	c.checkVersions()
	c.checkDocuments()
	c.checkChanges()
	c.checkCalls()
	c.checkKeys()
	c.checkTenants()
	c.checkDrains()
	c.checkStops()
	return c.violations
}

// checkRun is the state of one call of Check.
type checkRun struct {
	records    *Records
	runs       map[string]int // by call ID
	violations []Violation
}

func (c *checkRun) addViolation(i Invariant, subject, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: i, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// countRuns returns the number of runs by call ID, on all targets together.
func countRuns(targets []Target) map[string]int {
	runs := make(map[string]int)
	for _, t := range targets {
		for _, run := range t.Runs {
			runs[run.CallID]++
		}
	}
	return runs
}

// checkVersions checks that the versions in each daemon's history never decrease
// and that each version has the digest of the accepted one. Where the accepted
// digest is not known, the daemons' digests must agree.
func (c *checkRun) checkVersions() {
	seen := make(map[versioner.Version]string)
	for v, d := range c.records.Accepted {
		seen[v] = d.String()
	}
	for daemon, history := range c.records.Applied {
		var last versioner.Version
		for _, a := range history {
			if a.Version < last {
				c.addViolation(VersionsOnlyRise, daemon, "version %d in force after version %d", a.Version, last)
			}
			last = a.Version
			want, ok := seen[a.Version]
			if !ok {
				seen[a.Version] = a.Digest
				continue
			}
			if a.Digest != want {
				c.addViolation(VersionsWhole, daemon, "version %d has digest %s, want %s", a.Version, a.Digest, want)
			}
		}
	}
}

// checkDocuments checks that every route in force names an existing service.
func (c *checkRun) checkDocuments() {
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
			for _, service := range e.Route.Services() {
				key := versioner.Key{Kind: versioner.KindService, Name: service}
				if _, ok := doc.Find(key); !ok {
					c.addViolation(ReferencesClosed, subject, "%s refers to %s, which does not exist", e.Key, key)
				}
			}
		}
	}
}

// checkChanges compares the outcomes that operators received with the accepted
// versions.
func (c *checkRun) checkChanges() {
	versions := make(map[string]versioner.Version) // by change ID
	for v, id := range c.records.ChangeIDs {
		versions[id] = v
	}
	for _, result := range c.records.Changes {
		id := result.Change.ID
		v, made := versions[id]
		switch {
		case result.Outcome == caller.NotAccepted && made:
			c.addViolation(ChangesToldTruly, id, "created version %d, but the operator got not-accepted (%s)", v, result.Cause)
		case result.Outcome == caller.Accepted && c.records.ChangeIDs[result.Version] != id:
			c.addViolation(ChangesToldTruly, id, "the operator got accepted as version %d, which the change %q created", result.Version, c.records.ChangeIDs[result.Version])
		}
	}
}

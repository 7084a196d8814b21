package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// trialCrashes is the number of crashes under a request from which it runs as the only
	// suspect at its target.
	trialCrashes = 2
	// quarantineCrashes is the number of crashes under a request from which it is
	// quarantined, if one of them was in a trial.
	quarantineCrashes = 3
	// shortestTerm is how long a request is quarantined after its third crash. Each further
	// crash doubles it, up to longestTerm.
	shortestTerm = 10 * time.Minute
	longestTerm  = 4 * time.Hour
	// suspicionLifetime is how long after its last crash a request that is not quarantined
	// is suspected, and after the end of its term one that was.
	suspicionLifetime = time.Hour
	// maxCrashes bounds the crashes of one record.
	maxCrashes = 8
	// maxAgeMS bounds the age of a record, in milliseconds. Older ones have no effect.
	maxAgeMS = int64(24 * time.Hour / time.Millisecond)
	// maxNameBytes bounds the names in a record from another daemon.
	maxNameBytes = 128
)

// Crash is one run of a target that ended while it was running the request.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Run identifies the run of the target.
	Run uint64
	// IsTrial reports that the request had already ended targets when the run began it, and
	// was the only such request that the target ran.
	IsTrial bool
	// Order is higher than that of all crashes that the daemon knew which found this one.
	Order uint32
}

// compareCrash orders the crashes of a record. It is total, so that all daemons keep the same
// ones.
func compareCrash(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Run, b.Run))
}

// Record is what daemons tell each other about a request at one service. Records of the same
// request and service merge to the same result in any order.
type Record struct {
	Request Digest `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Partner is the partner whose request it is.
	Partner string `cbor:"3,keyasint,omitempty"`
	// Cleared counts how often a target has answered the request after a crash. A record
	// with a higher count replaces those with lower ones.
	Cleared uint32 `cbor:"4,keyasint,omitempty"`
	// Crashes holds the last maxCrashes crashes since the request was last cleared, in the
	// order of compareCrash.
	Crashes []Crash `cbor:"5,keyasint,omitempty"`
	// AgeMS is the time since the last crash in milliseconds. Durations are sent, so that
	// clocks of different machines are never compared.
	AgeMS int64 `cbor:"6,keyasint,omitempty"`
}

// isValid reports whether the record, which came from another daemon, says something and is
// within the bounds.
func (r *Record) isValid() bool {
	return (r.Cleared > 0 || len(r.Crashes) > 0) && len(r.Service) <= maxNameBytes && len(r.Partner) <= maxNameBytes && len(r.Crashes) <= maxCrashes && r.AgeMS >= 0 && r.AgeMS <= maxAgeMS
}

// entry is a record of the table.
type entry struct {
	Record
	// crashedAt is the time of the last crash.
	crashedAt time.Time
	// change numbers the entry's last change, and source is where that came from.
	change, source uint64
	// isReported says that this daemon found one of the crashes.
	isReported bool
}

// isCleared reports whether the request has run at the service since its last crash there.
func (e *entry) isCleared() bool { return e.Cleared > 0 && len(e.Crashes) == 0 }

// expires returns when the entry has no effect any more. A cleared one stays until all records
// have expired that it may have to replace.
func (e *entry) expires() time.Time {
	if e.isCleared() {
		return e.crashedAt.Add(longestTerm + suspicionLifetime)
	}
	return e.crashedAt.Add(term(len(e.Crashes)) + suspicionLifetime)
}

// term returns how long a request with the number of crashes is quarantined.
func term(crashes int) time.Duration {
	if crashes < quarantineCrashes {
		return 0
	}
	return min(longestTerm, shortestTerm<<(crashes-quarantineCrashes))
}

// include adds crashes and reports whether that changed the entry.
func (e *entry) include(crashes ...Crash) bool {
	// The slice is not changed in place, because records that were returned share it.
	all := slices.Clone(e.Crashes)
	for _, c := range crashes {
		if !slices.ContainsFunc(all, func(known Crash) bool { return known.Run == c.Run }) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, compareCrash)
	all = all[max(0, len(all)-maxCrashes):]
	changed := !slices.Equal(all, e.Crashes)
	e.Crashes = all
	return changed
}

// addCrash adds a crash that this daemon found, and reports whether it was unknown.
func (e *entry) addCrash(c Crash) bool {
	if n := len(e.Crashes); n > 0 {
		c.Order = e.Crashes[n-1].Order + 1
	}
	return e.include(c)
}

// merge includes a record of another daemon and reports whether that changed the entry. The
// record merges to the same result with others in any order.
func (e *entry) merge(r Record, now time.Time) bool {
	if r.Cleared < e.Cleared {
		return false
	}
	isNewer := r.Cleared > e.Cleared
	if isNewer {
		e.Cleared, e.Crashes = r.Cleared, nil
	}
	if !e.include(r.Crashes...) && !isNewer {
		return false
	}
	if at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond); at.After(e.crashedAt) {
		e.crashedAt = at
	}
	return true
}

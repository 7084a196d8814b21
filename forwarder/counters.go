package forwarder

import (
	"expvar"

	"bambooweir.example/bambooweir/versioner"
)

// CrossedBytes counts bytes between failure domains by the class of their calls.
type CrossedBytes struct{ Lookup, Posting, Scan, InternalRead expvar.Int }

// add counts n bytes for the class; calls of unknown classes count as lookups.
func (b *CrossedBytes) add(class string, n int) {
	counter := &b.Lookup
	switch class {
	case versioner.ClassPosting:
		counter = &b.Posting
	case versioner.ClassScan:
		counter = &b.Scan
	case versioner.ClassInternalRead:
		counter = &b.InternalRead
	}
	counter.Add(int64(n))
}

// Counters count what a Forwarder did.
type Counters struct {
	// Answered, NotRun and Unknown count the requests of callers by outcome.
	Answered, NotRun, Unknown expvar.Int
	// UnknownKeys counts the requests that were refused because no tenant holds their API
	// key, or they have none.
	UnknownKeys expvar.Int
	// Redispatched counts further attempts, Reattached the calls whose link was lost
	// and whose answer was asked for over a new one.
	Redispatched, Reattached expvar.Int
	// StrayAnswers counts answers for which no call waited: late, duplicated, or
	// received on another link than the call's.
	StrayAnswers expvar.Int
	// LinksOpened, LinksLost and LinksSilent count links; a link closed because it was
	// silent counts as lost too, and so does one closed because it was idle.
	LinksOpened, LinksLost, LinksSilent expvar.Int
	// Crossed counts the bytes of the bodies sent to other failure domains and received
	// from them.
	Crossed CrossedBytes
	// Malformed counts links closed because they received bytes that are not a message.
	Malformed expvar.Int
	// Damaged counts answers whose body does not match its digest.
	Damaged expvar.Int
}

package forwarder

import (
	"expvar"

	"bambooweir.example/bambooweir/versioner"
)

// CrossedBytes counts bytes by the class of their calls.
type CrossedBytes struct{ Lookup, Posting, Scan, InternalRead expvar.Int }

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
	// Answered, NotRun and Unknown count the outcomes that callers were told.
	Answered, NotRun, Unknown expvar.Int
	// Redispatched counts further attempts, Reattached those brought to an end
	// over a new link.
	Redispatched, Reattached expvar.Int
	// StrayAnswers counts answers that nobody waited for: late, doubled or crossed.
	StrayAnswers expvar.Int
	// LinksOpened, LinksLost and LinksSilent count links; silent ones are lost too.
	LinksOpened, LinksLost, LinksSilent expvar.Int
	// Crossed counts the bytes of bodies that went to other failure domains and came
	// from them.
	Crossed CrossedBytes
	// Malformed counts links ended for bytes that are no message.
	Malformed expvar.Int
	// Damaged counts answers whose body is not the one that was sent.
	Damaged expvar.Int
}

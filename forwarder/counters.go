package forwarder

import "expvar"

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
	// Malformed counts links ended for bytes that are no message.
	Malformed expvar.Int
	// Damaged counts answers whose body is not the one that was sent.
	Damaged expvar.Int
}

package spreader

import "expvar"

// Counters counts the events of one daemon's spreading.
type Counters struct {
	VersionsApplied  expvar.Int
	OlderRefused     expvar.Int
	InvalidRefused   expvar.Int
	ForkedRefused    expvar.Int
	RefusalsReceived expvar.Int
	DeltasReceived   expvar.Int
	DeltasRepeated   expvar.Int
	StatesReceived   expvar.Int
	StatesSent       expvar.Int
	ChainsBroken     expvar.Int
	PushesRepaired   expvar.Int
	DigestExchanges  expvar.Int
	SessionsOpened   expvar.Int
	SessionsLost     expvar.Int
	SessionsSilent   expvar.Int
	Redirects        expvar.Int
	JoinsRefused     expvar.Int
	LeasesTaken      expvar.Int
	LeasesLost       expvar.Int
	StoreFailures    expvar.Int
	RecordsMarked    expvar.Int
	RecordsRefuted   expvar.Int
	Surveys          expvar.Int
	Malformed        expvar.Int
}

// Map returns the counters by their names in the metrics.
func (c *Counters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	for name, v := range map[string]*expvar.Int{
		"versions-applied": &c.VersionsApplied, "older-refused": &c.OlderRefused,
		"invalid-refused": &c.InvalidRefused, "forked-refused": &c.ForkedRefused,
		"refusals-received": &c.RefusalsReceived, "deltas-received": &c.DeltasReceived,
		"deltas-repeated": &c.DeltasRepeated, "states-received": &c.StatesReceived,
		"states-sent": &c.StatesSent, "chains-broken": &c.ChainsBroken,
		"pushes-repaired": &c.PushesRepaired, "digest-exchanges": &c.DigestExchanges,
		"sessions-opened": &c.SessionsOpened, "sessions-lost": &c.SessionsLost,
		"sessions-silent": &c.SessionsSilent, "redirects": &c.Redirects,
		"joins-refused": &c.JoinsRefused, "leases-taken": &c.LeasesTaken,
		"leases-lost": &c.LeasesLost, "store-failures": &c.StoreFailures,
		"records-marked": &c.RecordsMarked, "records-refuted": &c.RecordsRefuted,
		"surveys": &c.Surveys, "malformed": &c.Malformed,
	} {
		m.Set(name, v)
	}
	return m
}

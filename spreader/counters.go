package spreader

import (
	"expvar"

	"bambooweir.example/bambooweir/messenger"
)

// Counters counts the events of one daemon's spreading.
type Counters struct {
	// Control counts the bytes of control links. What a relay reads from the
	// store comes on top.
	Control messenger.Traffic

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

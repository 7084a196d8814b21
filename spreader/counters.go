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

	// VersionsApplied counts versions put in force.
	VersionsApplied expvar.Int
	// OlderRefused, InvalidRefused and ForkedRefused count versions that were not
	// put in force: for one that is newer, for what is wrong with them, and for
	// having another content than the same version in force.
	OlderRefused, InvalidRefused, ForkedRefused expvar.Int
	// RefusalsReceived counts refusals by peers.
	RefusalsReceived expvar.Int
	// DeltasReceived counts deltas, DeltasRepeated the messages of those that were
	// held already.
	DeltasReceived, DeltasRepeated expvar.Int
	// StatesReceived and StatesSent count whole documents.
	StatesReceived, StatesSent expvar.Int
	// ChainsBroken counts deltas that did not fit what is held.
	ChainsBroken expvar.Int
	// PushesRepaired counts pushes that got lost and were sent again.
	PushesRepaired expvar.Int
	// DigestExchanges counts comparisons of whole membership tables.
	DigestExchanges expvar.Int
	// SessionsOpened, SessionsLost and SessionsSilent count control links; silent
	// ones are lost too.
	SessionsOpened, SessionsLost, SessionsSilent expvar.Int
	// Redirects and JoinsRefused count joiners that were sent elsewhere.
	Redirects, JoinsRefused expvar.Int
	// LeasesTaken and LeasesLost count relay leases.
	LeasesTaken, LeasesLost expvar.Int
	// StoreFailures counts calls of the store that failed.
	StoreFailures expvar.Int
	// RecordsMarked counts targets that were marked gone, RecordsRefuted the times
	// that this daemon's own was.
	RecordsMarked, RecordsRefuted expvar.Int
	// Surveys counts questions to several peers for their versions.
	Surveys expvar.Int
	// Invitations counts daemons that had left and were told where to join.
	Invitations expvar.Int
	// Malformed counts what could not be decoded.
	Malformed expvar.Int
}

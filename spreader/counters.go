package spreader

import (
	"expvar"

	"bambooweir.example/bambooweir/messenger"
)

// Counters counts the events of one Spreader.
type Counters struct {
	// Control counts the bytes of control links. What a relay reads from the
	// store is not included.
	Control messenger.Traffic

	// VersionsApplied counts versions put in force.
	VersionsApplied expvar.Int
	// OlderRefused, InvalidRefused and ForkedRefused count versions that were
	// not put in force: because a newer one was in force, because the document
	// was invalid, and because its content differs from that of the same
	// version in force.
	OlderRefused, InvalidRefused, ForkedRefused expvar.Int
	// RefusalsReceived counts refusals by peers.
	RefusalsReceived expvar.Int
	// DeltasReceived counts deltas, DeltasRepeated the messages whose deltas
	// were all known already.
	DeltasReceived, DeltasRepeated expvar.Int
	// StatesReceived and StatesSent count whole documents.
	StatesReceived, StatesSent expvar.Int
	// ChainsBroken counts messages whose deltas did not fit the document held.
	ChainsBroken expvar.Int
	// PushesRepaired counts pushes that were lost and are sent again.
	PushesRepaired expvar.Int
	// DigestExchanges counts comparisons of whole membership tables.
	DigestExchanges expvar.Int
	// SessionsOpened, SessionsLost and SessionsSilent count control links that
	// were opened, that ended, and that ended because nothing arrived.
	SessionsOpened, SessionsLost, SessionsSilent expvar.Int
	// Redirects counts joiners that were redirected to a child, JoinsRefused
	// all that were not admitted.
	Redirects, JoinsRefused expvar.Int
	// LeasesTaken and LeasesLost count relay leases.
	LeasesTaken, LeasesLost expvar.Int
	// RostersWritten counts changes of the rosters of instances in the store.
	RostersWritten expvar.Int
	// StoreFailures counts calls of the store that failed.
	StoreFailures expvar.Int
	// RecordsMarked counts records of other targets that this daemon marked
	// gone, RecordsRefuted how often it refuted such a mark on its own record.
	RecordsMarked, RecordsRefuted expvar.Int
	// Surveys counts surveys, each of which asks several peers for their
	// versions.
	Surveys expvar.Int
	// Invitations counts invitations to join that were sent to daemons that had
	// left.
	Invitations expvar.Int
	// Malformed counts messages and stored values that could not be decoded.
	Malformed expvar.Int
}

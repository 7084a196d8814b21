package messenger

import (
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Purpose is the reason for which a control link is opened.
type Purpose uint8

// The purposes of a control link.
const (
	// PurposeJoin asks to become a child of the receiver.
	PurposeJoin Purpose = iota + 1
	// PurposeNeighbor connects two relays.
	PurposeNeighbor
	// PurposeSurvey asks only for the configuration.
	PurposeSurvey
	// PurposeInvite tells a daemon that may know no others that it can join the
	// sender.
	PurposeInvite
)

// Node identifies a daemon and the address at which it accepts links.
type Node struct {
	_           struct{} `cbor:",toarray"`
	InstanceID  string
	PeerAddress string
}

// Position identifies the configuration that a daemon holds.
type Position struct {
	_       struct{} `cbor:",toarray"`
	Version versioner.Version
	Digest  versioner.Digest
}

// Confirmation states that a version was the newest in the store some time ago.
// AgeMS is a duration, so that no clocks of two machines are compared; each hop
// adds its own delay.
type Confirmation struct {
	_       struct{} `cbor:",toarray"`
	Version versioner.Version
	AgeMS   int64
}

// Hello opens a control link. It is answered by a Welcome, a Redirect or a Busy.
type Hello struct {
	Node     Node     `cbor:"1,keyasint"`
	Domain   string   `cbor:"2,keyasint"`
	Purpose  Purpose  `cbor:"3,keyasint"`
	Position Position `cbor:"4,keyasint"`
	// MembersDigest is the digest of the sender's membership table.
	MembersDigest uint64 `cbor:"5,keyasint"`
	// Subtree lists the instances below the sender.
	Subtree []string `cbor:"6,keyasint,omitempty"`
}

// Welcome accepts a Hello.
type Welcome struct {
	Node          Node          `cbor:"1,keyasint"`
	Domain        string        `cbor:"2,keyasint"`
	Position      Position      `cbor:"3,keyasint"`
	MembersDigest uint64        `cbor:"4,keyasint"`
	Confirm       *Confirmation `cbor:"5,keyasint,omitempty"`
	// Path lists the daemons from the root of the tree to the sender, including
	// both.
	Path []Node `cbor:"6,keyasint,omitempty"`
	// Subtree lists the instances below the sender, for neighbors.
	Subtree []string `cbor:"7,keyasint,omitempty"`
	// IsWatching says that the sender watches the store, and that its last call was answered.
	IsWatching bool `cbor:"8,keyasint,omitempty"`
}

// Redirect refuses a Hello and names daemons to try instead.
type Redirect struct {
	// Nodes lists the sender's children, those with the fewest descendants first,
	// or the root of its tree if the sender has a parent and is asked to become a
	// neighbor.
	Nodes []Node `cbor:"1,keyasint"`
}

// Busy refuses a Hello for now. The joining daemon should retry after
// RetryAfterMS.
type Busy struct {
	RetryAfterMS int64 `cbor:"1,keyasint"`
	// Cause is a kebab-case code for the reason.
	Cause string `cbor:"2,keyasint"`
}

// Path tells the children of a daemon that its position in the tree has changed.
type Path struct {
	// Nodes lists the daemons from the root of the tree to the sender, including
	// both.
	Nodes []Node `cbor:"1,keyasint"`
}

// VersionCount is the number of daemons that have a version in force.
type VersionCount struct {
	_       struct{} `cbor:",toarray"`
	Version versioner.Version
	Daemons int
}

// LaggingDaemon is a daemon whose configuration may not be the newest, and the reason.
type LaggingDaemon struct {
	_          struct{} `cbor:",toarray"`
	InstanceID string
	Version    versioner.Version
	Reason     string
}

// Tally summarizes the configuration versions of a set of daemons.
type Tally struct {
	Counts []VersionCount `cbor:"1,keyasint,omitempty"`
	// Lagging lists a few of those daemons that may not have the newest
	// version.
	Lagging []LaggingDaemon `cbor:"2,keyasint,omitempty"`
}

// Heartbeat shows that a session is alive. By the sender's position and
// membership digest the receiver detects updates that did not arrive. It is
// answered by a HeartbeatAnswer.
type Heartbeat struct {
	Sequence      uint64   `cbor:"1,keyasint"`
	Position      Position `cbor:"2,keyasint"`
	MembersDigest uint64   `cbor:"3,keyasint"`
	// Subtree is the tally of the sender and its descendants. A child sends it
	// to its parent.
	Subtree *Tally `cbor:"4,keyasint,omitempty"`
}

// HeartbeatAnswer answers a Heartbeat. It is sent at once, so that its
// confirmation is younger than the Heartbeat.
type HeartbeatAnswer struct {
	Sequence      uint64        `cbor:"1,keyasint"`
	Position      Position      `cbor:"2,keyasint"`
	MembersDigest uint64        `cbor:"3,keyasint"`
	Confirm       *Confirmation `cbor:"4,keyasint,omitempty"`
	// Fleet is the tally of all daemons that the sender knows of. A parent sends
	// it to its children.
	Fleet *Tally `cbor:"5,keyasint,omitempty"`
	// IsSourceSilent says that the sender would not learn of a new version now: it does not
	// reach the store and hears from no daemon that may. A relay says it to another one of its
	// failure domain while it does not watch the store.
	IsSourceSilent bool `cbor:"6,keyasint,omitempty"`
}

// State carries a complete configuration document.
type State struct {
	Document versioner.Document `cbor:"1,keyasint"`
	Digest   versioner.Digest   `cbor:"2,keyasint"`
}

// Deltas carries consecutive configuration deltas, oldest first.
type Deltas struct {
	Deltas []versioner.Delta `cbor:"1,keyasint"`
}

// Pull asks for the deltas from a position to the newest version, or for the
// whole document if the position's version is 0.
type Pull struct {
	Position Position `cbor:"1,keyasint"`
}

// Refused tells the sender of a configuration version that the receiver did not
// put it in force.
type Refused struct {
	Offered versioner.Version `cbor:"1,keyasint"`
	InForce versioner.Version `cbor:"2,keyasint"`
	// Cause is a kebab-case code for the reason.
	Cause string `cbor:"3,keyasint"`
}

// Members carries membership records, and records of requests under which targets have
// ended.
type Members struct {
	Records    []tracker.Record     `cbor:"1,keyasint"`
	Suspicions []quarantiner.Record `cbor:"2,keyasint,omitempty"`
}

// DomainDigest is the digest of one failure domain's membership records.
type DomainDigest struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Digest uint64
}

// MemberDigests carries the sender's digests of the membership records by
// failure domain. It asks for the records of the domains whose digests differ.
type MemberDigests struct {
	Domains []DomainDigest `cbor:"1,keyasint"`
	// Reply asks the receiver to send back its own digests.
	Reply bool `cbor:"2,keyasint,omitempty"`
}

// Subtree tells a parent which instances have joined or left the tree below the
// sender.
type Subtree struct {
	Joined []string `cbor:"1,keyasint,omitempty"`
	Left   []string `cbor:"2,keyasint,omitempty"`
}

// RootReport is the tally of the tree below one root. Relays forward it to each
// other.
type RootReport struct {
	Root   Node   `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Epoch and Sequence order the reports of one root.
	Epoch    uint64 `cbor:"3,keyasint"`
	Sequence uint64 `cbor:"4,keyasint"`
	Tally    Tally  `cbor:"5,keyasint"`
}

// Reports carries the reports of several roots.
type Reports struct {
	Reports []RootReport `cbor:"1,keyasint"`
}

// Appoint asks a child to become the relay of a vacant relay slot.
type Appoint struct {
	Slot string `cbor:"1,keyasint"`
}

// PartUpdate carries state that a part of the program shares with the same part of the peer.
type PartUpdate struct {
	// Part is the name of the part, which alone reads Payload.
	Part    string `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Welcome) Kind() Kind { return KindWelcome }

// Kind implements Message.
func (*Redirect) Kind() Kind { return KindRedirect }

// Kind implements Message.
func (*Busy) Kind() Kind { return KindBusy }

// Kind implements Message.
func (*Path) Kind() Kind { return KindPath }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (*HeartbeatAnswer) Kind() Kind { return KindHeartbeatAnswer }

// Kind implements Message.
func (*State) Kind() Kind { return KindState }

// Kind implements Message.
func (*Deltas) Kind() Kind { return KindDeltas }

// Kind implements Message.
func (*Pull) Kind() Kind { return KindPull }

// Kind implements Message.
func (*Refused) Kind() Kind { return KindRefused }

// Kind implements Message.
func (*Members) Kind() Kind { return KindMembers }

// Kind implements Message.
func (*MemberDigests) Kind() Kind { return KindMemberDigests }

// Kind implements Message.
func (*Subtree) Kind() Kind { return KindSubtree }

// Kind implements Message.
func (*Reports) Kind() Kind { return KindReports }

// Kind implements Message.
func (*Appoint) Kind() Kind { return KindAppoint }

// Kind implements Message.
func (*PartUpdate) Kind() Kind { return KindPartUpdate }

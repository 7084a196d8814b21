package messenger

import (
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Purpose says what a control link is opened for.
type Purpose uint8

// The purposes of a control link.
const (
	// PurposeJoin asks to become a child.
	PurposeJoin Purpose = iota + 1
	// PurposeNeighbor links two relays.
	PurposeNeighbor
	// PurposeSurvey asks for the configuration only.
	PurposeSurvey
	// PurposeInvite tells a daemon that may know nobody where to join.
	PurposeInvite
)

// Node names a daemon and where it accepts links.
type Node struct {
	_           struct{} `cbor:",toarray"`
	InstanceID  string
	PeerAddress string
}

// Position is the configuration that a daemon holds.
type Position struct {
	_       struct{} `cbor:",toarray"`
	Version versioner.Version
	Digest  versioner.Digest
}

// Confirmation says that the store held a version as the newest some time ago.
// AgeMS is a duration, so that no two clocks are compared; each hop adds to it.
type Confirmation struct {
	_       struct{} `cbor:",toarray"`
	Version versioner.Version
	AgeMS   int64
}

// Hello opens a control link.
type Hello struct {
	Node          Node     `cbor:"1,keyasint"`
	Domain        string   `cbor:"2,keyasint"`
	Purpose       Purpose  `cbor:"3,keyasint"`
	Position      Position `cbor:"4,keyasint"`
	MembersDigest uint64   `cbor:"5,keyasint"`
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
	// Path leads from the root to the sender, both included.
	Path []Node `cbor:"6,keyasint,omitempty"`
	// Subtree lists the instances below the sender, for neighbors.
	Subtree []string `cbor:"7,keyasint,omitempty"`
}

// Redirect answers the Hello of a joiner that finds no room.
type Redirect struct {
	// Nodes are the sender's children, those with the fewest descendants first.
	Nodes []Node `cbor:"1,keyasint"`
}

// Busy answers the Hello of a joiner that is to come back later.
type Busy struct {
	RetryAfterMS int64 `cbor:"1,keyasint"`
	// Cause is a kebab-case word.
	Cause string `cbor:"2,keyasint"`
}

// Path tells the children of a daemon that its place in the tree changed.
type Path struct {
	Nodes []Node `cbor:"1,keyasint"`
}

// VersionCount is the number of daemons that have a version in force.
type VersionCount struct {
	_       struct{} `cbor:",toarray"`
	Version versioner.Version
	Daemons int
}

// LaggingDaemon is a daemon that is behind, and why.
type LaggingDaemon struct {
	_          struct{} `cbor:",toarray"`
	InstanceID string
	Version    versioner.Version
	Reason     string
}

// Tally is the state of a set of daemons.
type Tally struct {
	Counts []VersionCount `cbor:"1,keyasint,omitempty"`
	// Lagging names a few of those that are behind.
	Lagging []LaggingDaemon `cbor:"2,keyasint,omitempty"`
}

// Heartbeat proves that a session lives and closes what a push lost.
type Heartbeat struct {
	Sequence      uint64   `cbor:"1,keyasint"`
	Position      Position `cbor:"2,keyasint"`
	MembersDigest uint64   `cbor:"3,keyasint"`
	// Subtree is the tally of the sender and its descendants.
	Subtree *Tally `cbor:"4,keyasint,omitempty"`
}

// HeartbeatAnswer answers a Heartbeat at once.
type HeartbeatAnswer struct {
	Sequence      uint64        `cbor:"1,keyasint"`
	Position      Position      `cbor:"2,keyasint"`
	MembersDigest uint64        `cbor:"3,keyasint"`
	Confirm       *Confirmation `cbor:"4,keyasint,omitempty"`
	// Fleet is the tally of all daemons, as far as the sender knows.
	Fleet *Tally `cbor:"5,keyasint,omitempty"`
}

// State carries a whole document.
type State struct {
	Document versioner.Document `cbor:"1,keyasint"`
	Digest   versioner.Digest   `cbor:"2,keyasint"`
}

// Deltas carries consecutive deltas, oldest first.
type Deltas struct {
	Deltas []versioner.Delta `cbor:"1,keyasint"`
}

// Pull asks for what leads from a position to the newest version. Version 0
// asks for the whole document.
type Pull struct {
	Position Position `cbor:"1,keyasint"`
}

// Refused tells the sender of a version that it was not put in force.
type Refused struct {
	Offered versioner.Version `cbor:"1,keyasint"`
	InForce versioner.Version `cbor:"2,keyasint"`
	// Cause is a kebab-case word.
	Cause string `cbor:"3,keyasint"`
}

// Members carries membership records.
type Members struct {
	Records []tracker.Record `cbor:"1,keyasint"`
}

// DomainDigest is the digest of one failure domain's membership records.
type DomainDigest struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Digest uint64
}

// MemberDigests asks for the records of the failure domains whose digests
// differ.
type MemberDigests struct {
	Domains []DomainDigest `cbor:"1,keyasint"`
	// Reply asks the receiver to send its own digests back.
	Reply bool `cbor:"2,keyasint,omitempty"`
}

// Subtree tells a parent which instances appeared or disappeared below the
// sender.
type Subtree struct {
	Joined []string `cbor:"1,keyasint,omitempty"`
	Left   []string `cbor:"2,keyasint,omitempty"`
}

// RootReport is the tally below one root. Relays pass it on to each other.
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

// Appoint asks a child to take the vacant relay slot.
type Appoint struct {
	Slot string `cbor:"1,keyasint"`
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

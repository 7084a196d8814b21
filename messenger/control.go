package messenger

import (
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Hello opens a control link.
type Hello struct {
	InstanceID string            `cbor:"1,keyasint"`
	Domain     string            `cbor:"2,keyasint"`
	Version    versioner.Version `cbor:"3,keyasint"`
	Digest     versioner.Digest  `cbor:"4,keyasint"`
}

// State carries a whole document.
type State struct {
	Document versioner.Document `cbor:"1,keyasint"`
}

// Deltas carries consecutive deltas, oldest first.
type Deltas struct {
	Deltas []versioner.Delta `cbor:"1,keyasint"`
}

// Members carries membership records.
type Members struct {
	Records []tracker.Record `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*State) Kind() Kind { return KindState }

// Kind implements Message.
func (*Deltas) Kind() Kind { return KindDeltas }

// Kind implements Message.
func (*Members) Kind() Kind { return KindMembers }

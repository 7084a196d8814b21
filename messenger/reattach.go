package messenger

// Opening is the first message on a call link, sent by the target's daemon.
type Opening struct {
	InstanceID string `cbor:"1,keyasint"`
	// Incarnation is different in every process that runs under InstanceID.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Link numbers the call links that the process has accepted, from 1.
	Link uint64 `cbor:"3,keyasint"`
	// Draining says that new calls are refused.
	Draining bool `cbor:"4,keyasint,omitempty"`
}

// Reattach asks, over a new link, what became of a call that was sent over a
// link which is lost. Nothing that came over the lost link begins any more. It
// is answered by an Answer, or by a Pending and later an Answer.
type Reattach struct {
	ID CallID `cbor:"1,keyasint"`
	// Link is the number of the lost link, from its Opening.
	Link uint64 `cbor:"2,keyasint"`
	// Incarnation is the process that accepted the lost link.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Pending says that the call has begun and that its answer will follow on this link.
type Pending struct {
	ID CallID `cbor:"1,keyasint"`
}

// Probe asks for a ProbeReply.
type Probe struct {
	// Acks lists calls whose answers the entry daemon has received.
	Acks []CallID `cbor:"1,keyasint,omitempty"`
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	Draining bool `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Opening) Kind() Kind { return KindOpening }

// Kind implements Message.
func (*Reattach) Kind() Kind { return KindReattach }

// Kind implements Message.
func (*Pending) Kind() Kind { return KindPending }

// Kind implements Message.
func (*Probe) Kind() Kind { return KindProbe }

// Kind implements Message.
func (*ProbeReply) Kind() Kind { return KindProbeReply }

package messenger

// Opening is the first message on a call link. The target's daemon sends it.
type Opening struct {
	InstanceID string `cbor:"1,keyasint"`
	// Incarnation differs between all processes that run under InstanceID.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Link is the number of this link. The process numbers the call links that it
	// accepts consecutively, upwards from a random base.
	Link uint64 `cbor:"3,keyasint"`
	// Draining reports that the daemon refuses new calls.
	Draining bool `cbor:"4,keyasint,omitempty"`
}

// Reattach asks over a new link for the result of a call that was sent over a
// lost link. If the call has not begun, it never will, and neither will calls
// that have not been read from the lost link yet. Reattach is answered by an
// Answer, or by a Pending and later an Answer.
type Reattach struct {
	ID CallID `cbor:"1,keyasint"`
	// Link is the number of the lost link, from its Opening.
	Link uint64 `cbor:"2,keyasint"`
	// Incarnation identifies the process that accepted the lost link.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Pending reports that the call has begun and that its answer will follow on
// this link.
type Pending struct {
	ID CallID `cbor:"1,keyasint"`
}

// Probe tests whether the peer still responds. It is answered by a ProbeReply.
type Probe struct {
	// Acks lists calls whose answers the entry daemon has received, so that the
	// receiver can forget them.
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

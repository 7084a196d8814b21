package messenger

// CallID identifies one call; it is unique across daemons and time.
type CallID [16]byte

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Call asks the target's daemon to run a call.
type Call struct {
	ID      CallID `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"`
	Partner string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	Method  string `cbor:"5,keyasint"`
	// Target is the request target: path and query.
	Target  string   `cbor:"6,keyasint"`
	Headers []Header `cbor:"7,keyasint,omitempty"`
	Body    []byte   `cbor:"8,keyasint,omitempty"`
	// RemainingMS is the time left until the call's deadline, in milliseconds.
	RemainingMS    int64  `cbor:"9,keyasint"`
	IdempotencyKey string `cbor:"10,keyasint,omitempty"`
}

// Outcome says what became of a call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the target answered; the answer is whole.
	OutcomeAnswered
	// OutcomeNotRun means that the call did not run and never will.
	OutcomeNotRun
)

// String returns the outcome as problem documents name it.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Answer ends a call.
type Answer struct {
	ID      CallID   `cbor:"1,keyasint"`
	Outcome Outcome  `cbor:"2,keyasint"`
	Status  int      `cbor:"3,keyasint,omitempty"`
	Headers []Header `cbor:"4,keyasint,omitempty"`
	Body    []byte   `cbor:"5,keyasint,omitempty"`
	// Cause is a kebab-case word that says why the call was not answered.
	Cause string `cbor:"6,keyasint,omitempty"`
}

// Cancel tells the target's daemon that nobody waits for the call any more.
type Cancel struct {
	ID CallID `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Call) Kind() Kind { return KindCall }

// Kind implements Message.
func (*Answer) Kind() Kind { return KindAnswer }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

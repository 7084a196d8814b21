package messenger

import (
	"errors"
	"runtime"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// CauseNoRoom is the cause of an answer that was received and dropped, since the daemon that
// received it had no memory left for it.
const CauseNoRoom = "no-room-for-answer"

// errNoAnswerID means that an encoded answer does not begin with its ID.
var errNoAnswerID = errors.New("no ID")

// hold records how the memory that the answer takes is given back: by Release, or when the
// answer is no longer in use.
func (a *Answer) hold(release func()) {
	a.release = sync.OnceFunc(release)
	runtime.AddCleanup(a, func(release func()) { release() }, a.release)
}

// Release gives back the memory that the answer takes. Its body must not be used afterwards.
func (a *Answer) Release() {
	if a.release != nil {
		a.release()
	}
}

// refuseAnswer returns the answer in place of the one whose encoded message begins with b.
func refuseAnswer(b []byte) (*Answer, error) {
	id, err := decodeAnswerID(b)
	if err != nil {
		return nil, &MalformedError{Kind: KindAnswer, Cause: err}
	}
	answer := Unknown(id, CauseNoRoom)
	answer.Sent = true
	return answer, nil
}

// decodeAnswerID returns the ID, the first field of an answer of whose encoding only the
// beginning is there.
func decodeAnswerID(b []byte) (id CallID, err error) {
	// The kind of the message, and a map of up to 23 or of up to 255 fields.
	const kindBytes, shortMap, longMap = 1, 0xa0, 0xb8
	rest := b[min(kindBytes, len(b)):]
	switch {
	case len(rest) > 2 && rest[0] == longMap:
		rest = rest[2:]
	case len(rest) > 1 && rest[0]&0xe0 == shortMap:
		rest = rest[1:]
	}
	var key int
	if rest, err = cbor.UnmarshalFirst(rest, &key); err != nil || key != 1 {
		return id, errNoAnswerID
	}
	var content []byte
	if _, err = cbor.UnmarshalFirst(rest, &content); err != nil || len(content) != len(id) {
		return id, errNoAnswerID
	}
	return CallID(content), nil
}

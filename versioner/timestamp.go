package versioner

import (
	"time"

	"github.com/joomcode/errorx"
)

// Timestamp is a point in time as milliseconds since the Unix epoch. Unlike
// time.Time it encodes to the same number by every codec, so that a document
// keeps its digest on its way between daemons. 0 means that none is set.
type Timestamp int64

// TimestampOf returns the timestamp of t.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time returns the point in time, in UTC.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)).UTC() }

// MarshalText writes the timestamp in RFC 3339, for JSON.
func (t Timestamp) MarshalText() ([]byte, error) { return t.Time().MarshalText() }

// UnmarshalText reads a timestamp in RFC 3339.
func (t *Timestamp) UnmarshalText(b []byte) error {
	at, err := time.Parse(time.RFC3339Nano, string(b))
	if err != nil {
		return errorx.Decorate(err, "reading timestamp")
	}
	*t = TimestampOf(at)
	return nil
}

package versioner

import (
	"time"

	"github.com/joomcode/errorx"
)

// Timestamp is a point in time in milliseconds since the Unix epoch. Unlike
// time.Time, all codecs encode it as the same number, so that a document keeps
// its digest when it is sent between daemons. 0 means that no time is set.
type Timestamp int64

// TimestampOf returns the timestamp of t.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time returns the point in time, in UTC.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)).UTC() }

// MarshalText formats the timestamp according to RFC 3339, for JSON.
func (t Timestamp) MarshalText() ([]byte, error) { return t.Time().MarshalText() }

// UnmarshalText parses a timestamp in RFC 3339 format.
func (t *Timestamp) UnmarshalText(b []byte) error {
	at, err := time.Parse(time.RFC3339Nano, string(b))
	if err != nil {
		return errorx.Decorate(err, "reading timestamp")
	}
	*t = TimestampOf(at)
	return nil
}

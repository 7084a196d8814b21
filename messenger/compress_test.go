package messenger

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/klauspost/compress/zstd"

	"bambooweir.example/bambooweir/tracker"
)

// Long control messages must be compressed; short ones and calls must not. All
// must decode to the message that was encoded.
func TestLongControlMessagesAreCompressed(t *testing.T) {
	members := new(Members)
	for i := range 200 {
		members.Records = append(members.Records, tracker.Record{InstanceID: fmt.Sprint("instance-", i), Service: "ledger-view", Domain: "mobile-bay"})
	}
	tests := []struct {
		name string
		m    Message
		want Kind
	}{
		{"long", members, KindCompressed},
		{"short", &Members{Records: members.Records[:1]}, KindMembers},
		{"call", &Call{Body: bytes.Repeat([]byte("a"), 4*minCompressBytes)}, KindCall},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, err := Encode(tt.m)
			if err != nil {
				t.Fatal(err)
			}
			if got := Kind(b[0]); got != tt.want {
				t.Errorf("kind: got %d, want %d", got, tt.want)
			}
			got, err := Decode(b)
			if err != nil || !reflect.DeepEqual(got, tt.m) {
				t.Errorf("decoded: got %v, %v, want the same message", got, err)
			}
		})
	}
}

// Decode must fail with a *MalformedError, and must not decompress without
// bound, if a compressed message is truncated, nested, of a kind that is never
// compressed, or larger than MaxMessageBytes when decompressed.
func TestDecodeMalformedCompressedMessages(t *testing.T) {
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = enc.Close() }()
	wrap := func(b []byte) []byte { return enc.EncodeAll(b, []byte{byte(KindCompressed)}) }
	tests := map[string][]byte{
		"empty":        {byte(KindCompressed)},
		"no zstd":      {byte(KindCompressed), 1, 2, 3},
		"nothing":      wrap(nil),
		"nested":       wrap(wrap([]byte{byte(KindMembers)})),
		"foreign kind": wrap([]byte{byte(KindHello), 0xa0}),
		"too long":     wrap(append([]byte{byte(KindMembers)}, make([]byte, 2*MaxMessageBytes)...)),
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(b)
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				t.Errorf("error: got %v, want a *MalformedError", err)
			}
		})
	}
}

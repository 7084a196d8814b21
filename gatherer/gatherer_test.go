package gatherer

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// TestGatheredBytes guards against bytes that are lost or doubled where a stream ends inside a
// piece, at its end, or comes a byte at a time.
func TestGatheredBytes(t *testing.T) {
	for _, size := range []int{0, 1, ChunkBytes - 1, ChunkBytes, ChunkBytes + 1, 3 * ChunkBytes} {
		want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for name, stream := range map[string]io.Reader{
			"at once": bytes.NewReader(want), "by bytes": iotest.OneByteReader(bytes.NewReader(want)), "end with data": iotest.DataErrReader(bytes.NewReader(want)),
		} {
			var g Gatherer
			var err error
			for err == nil {
				err = g.Read(stream, ChunkBytes)
			}
			if got := g.Bytes(); !errors.Is(err, io.EOF) || !bytes.Equal(got, want) || g.Len() != size {
				t.Errorf("%d bytes %s: got %d of them, error %v, want all and io.EOF", size, name, len(got), err)
			}
			if g.Free(); g.Len() != 0 {
				t.Errorf("after Free: got %d bytes, want 0", g.Len())
			}
		}
	}
}

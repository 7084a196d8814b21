package gatherer

import (
	"bytes"
	"testing"
	"testing/iotest"
)

// TestGatheredBytes guards against bytes that are lost or doubled at the end of a piece or of a read.
func TestGatheredBytes(t *testing.T) {
	for _, size := range []int{0, 1, ChunkBytes - 1, ChunkBytes, ChunkBytes + 1, 3 * ChunkBytes} {
		want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		var g Gatherer
		for stream := iotest.DataErrReader(iotest.OneByteReader(bytes.NewReader(want))); g.Read(stream, ChunkBytes) == nil; {
		}
		if got := g.Bytes(); !bytes.Equal(got, want) || g.Len() != size {
			t.Errorf("%d bytes: got %d of them, length %d, want all", size, len(got), g.Len())
		}
	}
}

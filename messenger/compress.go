package messenger

import (
	"sync"

	"github.com/joomcode/errorx"
	"github.com/klauspost/compress/zstd"
)

const (
	// minCompressBytes is the encoded length from which compressing a message
	// saves enough to be worth the CPU time.
	minCompressBytes = 1024
	// compressWindowBytes is the zstd window size. It bounds the memory of an
	// encoder and a decoder.
	compressWindowBytes = 256 << 10
)

// compressor and decompressor are shared by all links and created on first use.
var compressor = sync.OnceValue(func() *zstd.Encoder {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(compressWindowBytes), zstd.WithLowerEncoderMem(true), zstd.WithEncoderConcurrency(2))
	if err != nil {
		panic(err)
	}
	return enc
})

var decompressor = sync.OnceValue(func() *zstd.Decoder {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxMessageBytes),
		zstd.WithDecoderLowmem(true), zstd.WithDecoderConcurrency(2))
	if err != nil {
		panic(err)
	}
	return dec
})

// isCompressible reports whether messages of the kind are compressed if they are
// long. Messages of calls are not: compression would add to their latency, and
// their bodies belong to the callers and targets.
func isCompressible(kind Kind) bool {
	return kind == KindState || kind == KindDeltas || kind == KindMembers || kind == KindReports
}

// compress returns b wrapped in a message of KindCompressed if that is shorter,
// and otherwise b itself.
func compress(b []byte) []byte {
	if len(b) < minCompressBytes || !isCompressible(Kind(b[0])) {
		return b
	}
	out := compressor().EncodeAll(b, []byte{byte(KindCompressed)})
	if len(out) >= len(b) {
		return b
	}
	return out
}

// decompress unwraps a message of KindCompressed. It rejects content of a kind
// that compress does not wrap, so that compressed messages cannot nest.
func decompress(b []byte) ([]byte, error) {
	out, err := decompressor().DecodeAll(b[1:], nil)
	if err != nil {
		return nil, &MalformedError{Kind: KindCompressed, Cause: err}
	}
	if len(out) == 0 || !isCompressible(Kind(out[0])) {
		return nil, &MalformedError{Kind: KindCompressed, Cause: errorx.IllegalFormat.New("unexpected content")}
	}
	return out, nil
}

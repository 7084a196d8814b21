package messenger

import (
	"sync"

	"github.com/joomcode/errorx"
	"github.com/klauspost/compress/zstd"
)

const (
	// compressAbove is the length of an encoded message from which compression
	// is worth its time.
	compressAbove = 1024
	// compressWindow bounds the memory of one encoder and decoder.
	compressWindow = 256 << 10
)

var compressor = sync.OnceValue(func() *zstd.Encoder {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(compressWindow), zstd.WithLowerEncoderMem(true), zstd.WithEncoderConcurrency(2))
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

// isCompressed says whether long messages of the kind travel compressed. Those
// of calls do not: their time counts, and their bodies are not ours.
func isCompressed(kind Kind) bool {
	return kind == KindState || kind == KindDeltas || kind == KindMembers || kind == KindReports
}

// compress wraps an encoded message if that makes it shorter.
func compress(b []byte) []byte {
	if len(b) < compressAbove || !isCompressed(Kind(b[0])) {
		return b
	}
	out := compressor().EncodeAll(b, []byte{byte(KindCompressed)})
	if len(out) >= len(b) {
		return b
	}
	return out
}

// decompress unwraps a message of KindCompressed. What is in it must be of a
// kind that compress wraps, so that wrappings do not nest.
func decompress(b []byte) ([]byte, error) {
	out, err := decompressor().DecodeAll(b[1:], nil)
	if err != nil {
		return nil, &MalformedError{Kind: KindCompressed, Cause: err}
	}
	if len(out) == 0 || !isCompressed(Kind(out[0])) {
		return nil, &MalformedError{Kind: KindCompressed, Cause: errorx.IllegalFormat.New("unexpected content")}
	}
	return out, nil
}

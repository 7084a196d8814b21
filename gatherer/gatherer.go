// Package gatherer reads byte streams whose length is not known into pieces of memory that
// are used again, so that what is read and then given up leaves no garbage.
package gatherer

import (
	"io"
	"sync"
)

// ChunkBytes is the size of the pieces.
const ChunkBytes = 64 << 10

var chunks = sync.Pool{New: func() any { return new([ChunkBytes]byte) }}

// Gatherer holds the pieces of one stream. The zero value is empty.
type Gatherer struct {
	chunks []*[ChunkBytes]byte
	size   int
}

// Read reads n bytes of the stream into another piece, at most ChunkBytes, or as many as there
// are. The error is that of the stream: io.EOF at its end.
func (g *Gatherer) Read(stream io.Reader, n int) error {
	chunk := chunks.Get().(*[ChunkBytes]byte)
	g.chunks = append(g.chunks, chunk)
	var err error
	read := 0
	for read < n && err == nil {
		var m int
		m, err = stream.Read(chunk[read:n])
		read += m
	}
	g.size += read
	return err
}

// Len returns the number of bytes that were read.
func (g *Gatherer) Len() int { return g.size }

// Begin returns what was read into the first piece, until Free is called.
func (g *Gatherer) Begin() []byte {
	if len(g.chunks) == 0 {
		return nil
	}
	return g.chunks[0][:min(g.size, ChunkBytes)]
}

// Bytes returns a copy of all bytes that were read. All pieces but the last must be full.
func (g *Gatherer) Bytes() []byte {
	b := make([]byte, 0, g.size)
	for _, chunk := range g.chunks {
		b = append(b, chunk[:min(ChunkBytes, g.size-len(b))]...)
	}
	return b
}

// Free makes the pieces available to other streams. The Gatherer is empty then.
func (g *Gatherer) Free() {
	for _, chunk := range g.chunks {
		chunks.Put(chunk)
	}
	*g = Gatherer{}
}

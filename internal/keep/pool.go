package keep

import (
	"sync"

	"lanewheel/internal/wire"
)

// Pool holds buffers of one size, which are used again.
type Pool struct{ free sync.Pool }

// Take gives an empty buffer.
func (p *Pool) Take() []byte {
	if b, is := p.free.Get().(*[wire.BufferSize]byte); is {
		return b[:0]
	}
	return new([wire.BufferSize]byte)[:0]
}

// Give takes one back. What has grown out of its size is left to the collector.
func (p *Pool) Give(b []byte) {
	if cap(b) == wire.BufferSize {
		p.free.Put((*[wire.BufferSize]byte)(b[:wire.BufferSize]))
	}
}

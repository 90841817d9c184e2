package server

import (
	"sync"

	"lanewheel/internal/transport"
)

// BufferPool holds buffers of one size, which are used again.
type BufferPool struct{ pool sync.Pool }

// Get gives an empty buffer.
func (p *BufferPool) Get() []byte {
	if b, pooled := p.pool.Get().(*[transport.BufferSize]byte); pooled {
		return b[:0]
	}
	return new([transport.BufferSize]byte)[:0]
}

// Put takes one back. What has grown out of its size is left to the collector.
func (p *BufferPool) Put(b []byte) {
	if cap(b) == transport.BufferSize {
		p.pool.Put((*[transport.BufferSize]byte)(b[:transport.BufferSize]))
	}
}

package server

import (
	"sync"

	"lanewheel/internal/wire"
)

// BufferPool holds buffers of one size, which are used again.
type BufferPool struct{ pool sync.Pool }

// Get gives an empty buffer.
func (p *BufferPool) Get() []byte {
	if b, pooled := p.pool.Get().(*[wire.BufferSize]byte); pooled {
		return b[:0]
	}
	return new([wire.BufferSize]byte)[:0]
}

// Put takes one back. What has grown out of its size is left to the collector.
func (p *BufferPool) Put(b []byte) {
	if cap(b) == wire.BufferSize {
		p.pool.Put((*[wire.BufferSize]byte)(b[:wire.BufferSize]))
	}
}

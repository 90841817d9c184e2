package keep

import (
	"sync"

	"lanewheel/internal/wire"
)

// BufferPool holds buffers of one size, which are used again.
type BufferPool struct{ pool sync.Pool }

// Take gives an empty buffer.
func (p *BufferPool) Take() []byte {
	if b, pooled := p.pool.Get().(*[wire.BufferSize]byte); pooled {
		return b[:0]
	}
	return new([wire.BufferSize]byte)[:0]
}

// Give takes one back. What has grown out of its size is left to the collector.
func (p *BufferPool) Give(b []byte) {
	if cap(b) == wire.BufferSize {
		p.pool.Put((*[wire.BufferSize]byte)(b[:wire.BufferSize]))
	}
}

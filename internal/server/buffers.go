package server

import (
	"sync"

	"lanewheel/internal/transport"
)

// BufferPool is a pool of buffers of transport.BufferSize bytes. Its methods may be called on any goroutine.
type BufferPool struct{ pool sync.Pool }

// Get returns an empty buffer.
func (p *BufferPool) Get() []byte {
	if buffer, ok := p.pool.Get().(*[transport.BufferSize]byte); ok {
		return buffer[:0]
	}
	return new([transport.BufferSize]byte)[:0]
}

// Put returns a buffer to the pool. A buffer of another capacity is left to the garbage collector.
func (p *BufferPool) Put(buffer []byte) {
	if cap(buffer) == transport.BufferSize {
		p.pool.Put((*[transport.BufferSize]byte)(buffer[:transport.BufferSize]))
	}
}

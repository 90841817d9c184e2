package server

import (
	"fmt"

	"lanewheel/internal/transport"
)

// Buffers of another size are not taken back.
func Example_pool() {
	p := &BufferPool{}
	p.Put(make([]byte, 10))
	b := p.Get()
	fmt.Println(len(b), cap(b) == transport.BufferSize)
	p.Put(append(b, "old"...))
	fmt.Println(len(p.Get()))
	// Output:
	// 0 true
	// 0
}

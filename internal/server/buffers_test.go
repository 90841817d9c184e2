package server

import (
	"fmt"

	"lanewheel/internal/transport"
)

// The pool does not keep buffers of another capacity.
func Example_bufferPool() {
	pool := &BufferPool{}
	pool.Put(make([]byte, 10))
	buffer := pool.Get()
	fmt.Println(len(buffer), cap(buffer) == transport.BufferSize)
	pool.Put(append(buffer, "old"...))
	fmt.Println(len(pool.Get()))
	// Output:
	// 0 true
	// 0
}

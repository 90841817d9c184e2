// Package transporttest has what the tests of codecs share.
package transporttest

import (
	"testing"

	"lanewheel/internal/transport"
)

// FuzzSplits fuzzes a codec: however the bytes are split across reads, the trace of what is read is the same.
func FuzzSplits(f *testing.F, trace func(reads ...[]byte) string, seeds ...[]byte) {
	for _, seed := range seeds {
		f.Add(seed, 1)
		f.Add(seed, 7)
	}
	f.Fuzz(func(t *testing.T, input []byte, size int) {
		if len(input) >= transport.BufferSize || size < 1 {
			return
		}
		var reads [][]byte
		for rest := input; len(rest) > 0; {
			n := min(size, len(rest))
			reads = append(reads, rest[:n])
			rest = rest[n:]
		}
		if whole, split := trace(input), trace(reads...); whole != split {
			t.Errorf("whole:\n%ssplit:\n%s", whole, split)
		}
	})
}

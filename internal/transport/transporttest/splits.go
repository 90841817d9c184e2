// Package transporttest contains helpers for the tests of codecs.
package transporttest

import (
	"testing"

	"lanewheel/internal/transport"
)

// FuzzSplits fuzzes a codec. It checks that the trace of the input does not depend on how the input is split across
// reads. trace passes the reads to a new connection and returns a text that lists the messages read.
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
			t.Errorf("trace of one read:\n%strace of split reads:\n%s", whole, split)
		}
	})
}

package admission

import (
	"encoding/binary"
	"hash/fnv"
)

// randomSource derives random numbers from a seed and a counter, so that the same events result in the same
// decisions.
type randomSource struct {
	seed  uint64
	draws uint64
}

// float64 returns a random number of at least 0 and less than 1.
func (s *randomSource) float64() float64 {
	s.draws++
	hash := fnv.New64a()
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], s.seed)
	binary.LittleEndian.PutUint64(input[8:], s.draws)
	hash.Write(input[:])
	const mantissaBits = 53
	return float64(hash.Sum64()>>(64-mantissaBits)) / (1 << mantissaBits)
}

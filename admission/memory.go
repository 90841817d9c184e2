package admission

import (
	"math"
	"time"
)

// usableMemoryTwelfths is the number of twelfths of the memory that may be used. The rest is reserved for requests
// that are read while an answer is being sent.
const usableMemoryTwelfths = 11

// memoryLimit returns the memory available to requests and records, in KB.
func (c *Controller) memoryLimit() float64 {
	if kb := c.settings.MemoryKB; kb > 0 {
		return kb * usableMemoryTwelfths / 12
	}
	return math.Inf(1)
}

// memoryInUse returns the memory used by queued and running requests and by records, in KB.
func (c *Controller) memoryInUse(now time.Duration) float64 {
	return c.requests.addMemoryKB(c.records.memoryKB(now), c.runMemoryFactor())
}

// runMemoryFactor returns the memory of a run as a multiple of the memory of its queued request.
func (c *Controller) runMemoryFactor() float64 { return max(1, c.settings.RunMemoryFactor) }

// runExceedsMemory reports whether there is too little memory to run a queued request.
func (c *Controller) runExceedsMemory(r *trackedRequest, now time.Duration) bool {
	return c.memoryInUse(now)+r.MemoryKB*(c.runMemoryFactor()-1) > c.memoryLimit()
}

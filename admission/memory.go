package admission

import (
	"math"
	"time"
)

// usableMemoryTwelfths leaves a part free for what is read while an answer is on its way.
const usableMemoryTwelfths = 11

// memoryLimit is the memory that requests and records may take, in KB.
func (c *Controller) memoryLimit() float64 {
	if kb := c.settings.MemoryKB; kb > 0 {
		return kb * usableMemoryTwelfths / 12
	}
	return math.Inf(1)
}

// memoryInUse is what queued and running requests and records take now, in KB.
func (c *Controller) memoryInUse(now time.Duration) float64 {
	return c.requests.addMemoryKB(c.records.memoryKB(now), c.runMemoryFactor())
}

// runMemoryFactor is the memory of a run, as a multiple of that of the request while queued.
func (c *Controller) runMemoryFactor() float64 { return max(1, c.settings.RunMemoryFactor) }

// runExceedsMemory tells whether there is no memory for the run of a queued request.
func (c *Controller) runExceedsMemory(r *trackedRequest, now time.Duration) bool {
	return c.memoryInUse(now)+r.MemoryKB*(c.runMemoryFactor()-1) > c.memoryLimit()
}

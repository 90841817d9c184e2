package admission

import (
	"slices"
	"time"
)

const (
	// recordMarginTicks is how much longer than its window a record is kept, for a duplicate that is read late.
	recordMarginTicks = 2
	// coalescedReadsMemoryDivisor is the part of the memory, as a divisor, that records of reads may take: requests
	// that are idempotent by key need theirs more.
	coalescedReadsMemoryDivisor = 5
)

// idempotencyRecord is one that the Executor keeps.
type idempotencyRecord struct {
	id        RequestID
	expiresAt time.Duration
}

// idempotencyRecords counts the records that the Executor keeps, for the memory that they take.
type idempotencyRecords struct {
	kept     []idempotencyRecord
	recordKB float64
	tick     time.Duration
}

// memoryKB is the memory of all records. They are freed within a tick of their expiry.
func (s *idempotencyRecords) memoryKB(now time.Duration) float64 {
	s.kept = slices.DeleteFunc(s.kept, func(record idempotencyRecord) bool { return record.expiresAt+s.tick < now })
	return float64(len(s.kept)) * s.recordKB
}

// remove forgets a request's record and tells whether there was one.
func (s *idempotencyRecords) remove(id RequestID) bool {
	i := slices.IndexFunc(s.kept, func(record idempotencyRecord) bool { return record.id == id })
	if i < 0 {
		return false
	}
	s.kept = slices.Delete(s.kept, i, i+1)
	return true
}

// keepRecord has the Executor keep a keepRecord of a request that may be duplicated, before it can run. It returns false if
// there is no memory for a keepRecord that is needed.
func (c *Controller) keepRecord(r *trackedRequest, now time.Duration) bool {
	window := c.recordWindow(r, now)
	if window <= 0 {
		return true
	}
	if c.memoryInUse(now)+c.settings.RecordKB > c.memoryLimit() {
		return false
	}
	c.records.kept = append(c.records.kept, idempotencyRecord{r.ID, now + window})
	c.executor.KeepRecord(r.ID, window)
	return true
}

// recordWindow is how long from now on a request's record is kept, 0 or less for none.
func (c *Controller) recordWindow(r *trackedRequest, now time.Duration) time.Duration {
	switch r.class.Idempotency {
	case IdempotentByKey:
		return r.arrivedAt + r.class.IdempotencyWindow - now + recordMarginTicks*c.settings.Tick
	case Idempotent:
		if r.IsWrite || r.Resource == "" || c.settings.CoalescedReadWindow <= 0 {
			return 0
		}
		if c.records.memoryKB(now)+c.settings.RecordKB > c.settings.MemoryKB/coalescedReadsMemoryDivisor {
			return 0 // the read runs, and is not coalesced
		}
		return r.deadline - now + c.settings.CoalescedReadWindow
	}
	return 0
}

package admission

import (
	"slices"
	"time"
)

const (
	// recordMarginTicks is the number of ticks that a record is kept beyond its window, for duplicates that are
	// read late.
	recordMarginTicks = 2
	// coalescedReadsMemoryDivisor divides the memory to obtain the limit above which no record is kept for a read.
	// Requests that are idempotent by key need their records more.
	coalescedReadsMemoryDivisor = 5
)

// idempotencyRecord is a record that the Executor keeps.
type idempotencyRecord struct {
	id        RequestID
	expiresAt time.Duration
}

// idempotencyRecords tracks the records that the Executor keeps, to account for their memory.
type idempotencyRecords struct {
	kept     []idempotencyRecord
	recordKB float64
	tick     time.Duration
}

// memoryKB returns the memory of all records. Records are freed within a tick of their expiry.
func (s *idempotencyRecords) memoryKB(now time.Duration) float64 {
	s.kept = slices.DeleteFunc(s.kept, func(record idempotencyRecord) bool { return record.expiresAt+s.tick < now })
	return float64(len(s.kept)) * s.recordKB
}

// remove removes a request's record and reports whether there was one.
func (s *idempotencyRecords) remove(id RequestID) bool {
	i := slices.IndexFunc(s.kept, func(record idempotencyRecord) bool { return record.id == id })
	if i < 0 {
		return false
	}
	s.kept = slices.Delete(s.kept, i, i+1)
	return true
}

// keepRecord has the Executor keep a record of a request that may be duplicated, before it can run. It returns
// false if there is no memory for the record.
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

// RecordRemoved handles the removal of a request's record by the Executor before the end of its window, because the
// request was canceled before it started. Without it, requests that are canceled would take the memory for records from
// those of other callers.
func (c *Controller) RecordRemoved(id RequestID) { c.records.remove(id) }

// recordWindow returns how long a request's record is to be kept from now on, 0 or less for no record.
func (c *Controller) recordWindow(r *trackedRequest, now time.Duration) time.Duration {
	switch r.class.Idempotency {
	case IdempotentByKey:
		return r.arrivedAt + r.class.IdempotencyWindow - now + recordMarginTicks*c.settings.Tick
	case Idempotent:
		if r.IsWrite || r.Resource == "" || c.settings.CoalescedReadWindow <= 0 {
			return 0
		}
		if c.records.memoryKB(now)+c.settings.RecordKB > c.settings.MemoryKB/coalescedReadsMemoryDivisor {
			return 0 // the read runs and is not coalesced
		}
		return r.deadline - now + c.settings.CoalescedReadWindow
	}
	return 0
}

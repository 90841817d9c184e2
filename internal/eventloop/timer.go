package eventloop

import (
	"container/heap"
	"time"
)

// removed is the index of a timer that is not in the queue any more.
const removed = -1

// Timer is a callback that is scheduled for a time. Owned by its loop.
type Timer struct {
	deadline time.Duration
	sequence uint64 // of timers with the same deadline, the first that was scheduled fires first
	callback func()
	queue    *timerQueue
	index    int // in the heap, or removed
}

// Stop keeps the timer from firing; one that has fired, was stopped or is nil stays as it is. The queue drops it at
// once: until its deadline it would hold what its callback refers to.
func (t *Timer) Stop() {
	if t != nil && t.index != removed {
		heap.Remove(t.queue, t.index)
	}
}

// timerQueue is a heap of timers by their deadlines: a heap.Interface, whose methods only package heap calls.
type timerQueue struct {
	entries      []*Timer
	lastSequence uint64
}

func (q *timerQueue) Len() int { return len(q.entries) }

func (q *timerQueue) Less(i, j int) bool {
	a, b := q.entries[i], q.entries[j]
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

func (q *timerQueue) Swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
	q.entries[i].index = i
	q.entries[j].index = j
}

// Push appends a *Timer.
func (q *timerQueue) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(q.entries)
	q.entries = append(q.entries, timer)
}

// Pop removes the last *Timer.
func (q *timerQueue) Pop() any {
	last := len(q.entries) - 1
	timer := q.entries[last]
	q.entries[last] = nil
	q.entries = q.entries[:last]
	timer.index = removed
	return timer
}

func (q *timerQueue) schedule(deadline time.Duration, callback func()) *Timer {
	q.lastSequence++
	timer := &Timer{deadline: deadline, sequence: q.lastSequence, callback: callback, queue: q}
	heap.Push(q, timer)
	return timer
}

// nextDeadline is when the next timer fires, and whether there is one.
func (q *timerQueue) nextDeadline() (time.Duration, bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].deadline, true
}

// fire calls back all timers that are due, also those that are scheduled meanwhile.
func (q *timerQueue) fire(now time.Duration) {
	for q.fireNext(now) {
	}
}

// fireNext calls back the first timer if it is due, and tells whether it was.
func (q *timerQueue) fireNext(now time.Duration) bool {
	if deadline, ok := q.nextDeadline(); !ok || deadline > now {
		return false
	}
	heap.Pop(q).(*Timer).callback()
	return true
}

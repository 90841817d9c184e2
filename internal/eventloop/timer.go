package eventloop

import (
	"container/heap"
	"time"
)

// removed is the index of a timer that is no longer in the queue.
const removed = -1

// Timer is a callback scheduled for a deadline. It is owned by its loop.
type Timer struct {
	deadline time.Duration
	sequence uint64 // timers with the same deadline fire in the order of their sequence numbers
	callback func()
	queue    *timerQueue
	index    int // position in the heap, or removed
}

// Stop prevents the timer from firing. It does nothing if the timer is nil, has fired or was stopped. The timer leaves
// the queue at once, because otherwise the data that its callback refers to would stay in memory until the deadline.
func (t *Timer) Stop() {
	if t != nil && t.index != removed {
		heap.Remove(t.queue, t.index)
	}
}

// timerQueue is a heap of timers, ordered by deadline. Its heap.Interface methods are called only by package heap.
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

// nextDeadline returns the deadline of the next timer, and whether there is a timer.
func (q *timerQueue) nextDeadline() (time.Duration, bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].deadline, true
}

// fire calls the callbacks of all timers that are due, including due timers that these callbacks schedule.
func (q *timerQueue) fire(now time.Duration) {
	for q.fireNext(now) {
	}
}

// fireNext calls the callback of the first timer if it is due, and reports whether it was.
func (q *timerQueue) fireNext(now time.Duration) bool {
	if deadline, ok := q.nextDeadline(); !ok || deadline > now {
		return false
	}
	heap.Pop(q).(*Timer).callback()
	return true
}

// Package eventloop is an owner: one goroutine that alone touches some tables, takes what others hand it as batches, and fires the
// timers. The core has one, and each front that blocks elsewhere may have its own.
package eventloop

import (
	"container/heap"
	"sync"
	"time"
)

// Loop is the owner: the one goroutine that touches the module and all tables. Others hand it calls.
type Loop struct {
	mu         sync.Mutex
	pending    []func()
	maxPending int           // of those, before who reads has to wait
	drained    *sync.Cond    // the owner has taken what was handed
	wake       chan struct{} // one token: something is handed

	start    time.Time
	now      time.Duration // since the start, standing still through a batch
	wallTime time.Time     // the same moment on the wall clock
	timers   timerQueue
	quitting bool
}

// New starts its time. Past so many calls handed over and not taken, who reads has to wait.
func New(maxPending int) *Loop {
	l := &Loop{maxPending: maxPending, wake: make(chan struct{}, 1), start: time.Now()}
	l.wallTime = l.start
	l.drained = sync.NewCond(&l.mu)
	return l
}

// Post gives calls to the owner, in order. Any goroutine may call it.
func (l *Loop) Post(callbacks ...func()) {
	l.mu.Lock()
	l.pending = append(l.pending, callbacks...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // it is on its way
	}
}

// PostBlocking is for what is read from connections. Danger: peers that send faster than the owner takes would fill
// the memory; the poller waits here, and they wait in the kernel. It must hold no connection's lock.
func (l *Loop) PostBlocking(callbacks ...func()) {
	l.mu.Lock()
	for len(l.pending) > l.maxPending {
		l.drained.Wait()
	}
	l.mu.Unlock()
	l.Post(callbacks...)
}

// Run takes all that is there as one batch, again and again, and calls after once behind each.
func (l *Loop) Run(afterBatch func()) {
	alarm := time.NewTimer(time.Hour) // the one system timer, behind the heap
	var callbacks []func()
	for !l.quitting {
		if next, due := l.timers.nextDeadline(); due {
			alarm.Reset(max(0, next-time.Since(l.start)))
		}
		select {
		case <-l.wake:
		case <-alarm.C:
		}
		l.mu.Lock()
		callbacks, l.pending = l.pending, callbacks[:0]
		l.drained.Signal()
		l.mu.Unlock()
		l.wallTime = time.Now()
		l.now = l.wallTime.Sub(l.start)
		for i, callback := range callbacks {
			callback()
			callbacks[i] = nil
		}
		for l.timers.fireNext(l.now) {
		}
		afterBatch()
	}
	alarm.Stop()
}

// ScheduleAt has the owner call then at a time since the start. Only the owner may ask for it.
func (l *Loop) ScheduleAt(deadline time.Duration, callback func()) *Timer {
	timer := &Timer{deadline: deadline, callback: callback, queue: &l.timers}
	l.timers.schedule(timer)
	return timer
}

// Timer is one entry of the heap.
type Timer struct {
	deadline time.Duration
	sequence uint64 // among those of one time the first asked for is the first to fire
	callback func()
	queue    *timerQueue
	index    int // its place in the heap, under 0 once it is out
}

// Stop takes it out. Danger: on a long day, what a dropped one holds would stay until its time.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(t.queue, t.index)
	}
}

type timerQueue struct {
	entries      []*Timer
	lastSequence uint64
}

func (t *timerQueue) Len() int { return len(t.entries) }
func (t *timerQueue) Less(i, j int) bool {
	a, b := t.entries[i], t.entries[j]
	return a.deadline < b.deadline || a.deadline == b.deadline && a.sequence < b.sequence
}
func (t *timerQueue) Swap(i, j int) {
	t.entries[i], t.entries[j] = t.entries[j], t.entries[i]
	t.entries[i].index, t.entries[j].index = i, j
}
func (t *timerQueue) Push(x any) {
	x.(*Timer).index = len(t.entries)
	t.entries = append(t.entries, x.(*Timer))
}
func (t *timerQueue) Pop() any {
	lastIndex := len(t.entries) - 1
	last := t.entries[lastIndex]
	t.entries[lastIndex], t.entries = nil, t.entries[:lastIndex]
	last.index = -1
	return last
}

func (t *timerQueue) schedule(timer *Timer) {
	t.lastSequence++
	timer.sequence = t.lastSequence
	heap.Push(t, timer)
}

// nextDeadline is when the first one fires.
func (t *timerQueue) nextDeadline() (time.Duration, bool) {
	if len(t.entries) == 0 {
		return 0, false
	}
	return t.entries[0].deadline, true
}

// fireNext calls the first that is due and tells whether there was one.
func (t *timerQueue) fireNext(now time.Duration) bool {
	if deadline, pending := t.nextDeadline(); !pending || deadline > now {
		return false
	}
	heap.Pop(t).(*Timer).callback()
	return true
}

// Now is the time since the start, standing still through a batch; Wall is the same moment on the wall clock.
func (l *Loop) Now() time.Duration  { return l.now }
func (l *Loop) WallTime() time.Time { return l.wallTime }

// Quit ends Run behind this batch; Ended tells whether it was called. Both belong to the owner.
func (l *Loop) Quit()         { l.quitting = true }
func (l *Loop) HasQuit() bool { return l.quitting }

// SetNow has time stand at a moment, for tests of what goes by it.
func (l *Loop) SetNow(now time.Duration) { l.now, l.wallTime = now, l.start.Add(now) }

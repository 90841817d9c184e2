// Package loop is an owner: one goroutine that alone touches some tables, takes what others hand it as batches, and fires the
// timers. The core has one, and each front that blocks elsewhere may have its own.
package loop

import (
	"container/heap"
	"sync"
	"time"
)

// Loop is the owner: the one goroutine that touches the module and all tables. Others hand it calls.
type Loop struct {
	mu     sync.Mutex
	handed []func()
	most   int           // of those, before who reads has to wait
	taken  *sync.Cond    // the owner has taken what was handed
	wake   chan struct{} // one token: something is handed

	began  time.Time
	now    time.Duration // since the start, standing still through a batch
	wall   time.Time     // the same moment on the wall clock
	timers timers
	over   bool
}

// New starts its time. Past so many calls handed over and not taken, who reads has to wait.
func New(most int) *Loop {
	l := &Loop{most: most, wake: make(chan struct{}, 1), began: time.Now()}
	l.wall = l.began
	l.taken = sync.NewCond(&l.mu)
	return l
}

// Hand gives calls to the owner, in order. Any goroutine may call it.
func (l *Loop) Hand(calls ...func()) {
	l.mu.Lock()
	l.handed = append(l.handed, calls...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // it is on its way
	}
}

// HandRead is for what is read from connections. Danger: peers that send faster than the owner takes would fill
// the memory; the poller waits here, and they wait in the kernel. It must hold no connection's lock.
func (l *Loop) HandRead(calls ...func()) {
	l.mu.Lock()
	for len(l.handed) > l.most {
		l.taken.Wait()
	}
	l.mu.Unlock()
	l.Hand(calls...)
}

// Run takes all that is there as one batch, again and again, and calls after once behind each.
func (l *Loop) Run(after func()) {
	alarm := time.NewTimer(time.Hour) // the one system timer, behind the heap
	var calls []func()
	for !l.over {
		if next, due := l.timers.next(); due {
			alarm.Reset(max(0, next-time.Since(l.began)))
		}
		select {
		case <-l.wake:
		case <-alarm.C:
		}
		l.mu.Lock()
		calls, l.handed = l.handed, calls[:0]
		l.taken.Signal()
		l.mu.Unlock()
		l.wall = time.Now()
		l.now = l.wall.Sub(l.began)
		for i, call := range calls {
			call()
			calls[i] = nil
		}
		for l.timers.fire(l.now) {
		}
		after()
	}
	alarm.Stop()
}

// At has the owner call then at a time since the start. Only the owner may ask for it.
func (l *Loop) At(at time.Duration, then func()) *Timer {
	t := &Timer{at: at, then: then, of: &l.timers}
	l.timers.add(t)
	return t
}

// Timer is one entry of the heap.
type Timer struct {
	at   time.Duration
	nth  uint64 // among those of one time the first asked for is the first to fire
	then func()
	of   *timers
	on   int // its place in the heap, under 0 once it is out
}

// Drop takes it out. Danger: on a long day, what a dropped one holds would stay until its time.
func (t *Timer) Drop() {
	if t != nil && t.on >= 0 {
		heap.Remove(t.of, t.on)
	}
}

type timers struct {
	heap []*Timer
	nth  uint64
}

func (t *timers) Len() int { return len(t.heap) }
func (t *timers) Less(i, j int) bool {
	a, b := t.heap[i], t.heap[j]
	return a.at < b.at || a.at == b.at && a.nth < b.nth
}
func (t *timers) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].on, t.heap[j].on = i, j
}
func (t *timers) Push(x any) {
	x.(*Timer).on = len(t.heap)
	t.heap = append(t.heap, x.(*Timer))
}
func (t *timers) Pop() any {
	end := len(t.heap) - 1
	last := t.heap[end]
	t.heap[end], t.heap = nil, t.heap[:end]
	last.on = -1
	return last
}

func (t *timers) add(x *Timer) {
	t.nth++
	x.nth = t.nth
	heap.Push(t, x)
}

// next is when the first one fires.
func (t *timers) next() (time.Duration, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// fire calls the first that is due and tells whether there was one.
func (t *timers) fire(now time.Duration) bool {
	if at, any := t.next(); !any || at > now {
		return false
	}
	heap.Pop(t).(*Timer).then()
	return true
}

// Now is the time since the start, standing still through a batch; Wall is the same moment on the wall clock.
func (l *Loop) Now() time.Duration { return l.now }
func (l *Loop) Wall() time.Time    { return l.wall }

// Over ends Run behind this batch; Ended tells whether it was called. Both belong to the owner.
func (l *Loop) Over()       { l.over = true }
func (l *Loop) Ended() bool { return l.over }

// Stand has time stand at a moment, for tests of what goes by it.
func (l *Loop) Stand(now time.Duration) { l.now, l.wall = now, l.began.Add(now) }

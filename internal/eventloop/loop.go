// Package eventloop runs one goroutine that owns state: other goroutines post calls to it, which it takes as
// batches, and it fires timers. A server has one, and each part of a process that waits elsewhere may have its own.
package eventloop

import (
	"sync"
	"time"
)

// Loop is an event loop. The goroutine in Run owns it and whatever the owner of the Loop says: any goroutine may call
// Post and PostBlocking, the other methods are for callbacks and timers, and for the time before Run.
type Loop struct {
	mu           sync.Mutex
	pending      []func()   // guarded by mu
	pendingTaken *sync.Cond // by mu: pending was taken
	maxPending   int        // past it PostBlocking waits
	wake         chan struct{}

	// Owned by the goroutine in Run.
	start    time.Time
	now      time.Duration
	wallTime time.Time
	timers   timerQueue
	quitting bool
}

// New returns a loop whose time starts now. PostBlocking waits while more calls than maxPending are pending.
func New(maxPending int) *Loop {
	l := &Loop{maxPending: maxPending, wake: make(chan struct{}, 1), start: time.Now()}
	l.wallTime = l.start
	l.pendingTaken = sync.NewCond(&l.mu)
	return l
}

// Post queues calls for the loop, in order. It never waits. Any goroutine may call it.
func (l *Loop) Post(callbacks ...func()) {
	l.mu.Lock()
	l.pending = append(l.pending, callbacks...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // the loop is being woken already
	}
}

// PostBlocking is Post for what is read from connections: it waits while the loop has too much to do, so that peers
// that send faster wait in the kernel instead of filling the memory. The goroutine of the loop must not call it,
// nor one that holds a lock that the loop takes.
func (l *Loop) PostBlocking(callbacks ...func()) {
	l.mu.Lock()
	for len(l.pending) > l.maxPending {
		l.pendingTaken.Wait()
	}
	l.mu.Unlock()
	l.Post(callbacks...)
}

// Run takes what is pending as one batch, fires the timers that are due and calls afterBatch, again and again until
// Quit. The calling goroutine owns the loop until Run returns.
func (l *Loop) Run(afterBatch func()) {
	systemTimer := time.NewTimer(time.Hour) // the one system timer, set to the next deadline
	defer systemTimer.Stop()
	var batch []func()
	for !l.quitting {
		if deadline, ok := l.timers.nextDeadline(); ok {
			systemTimer.Reset(max(0, deadline-time.Since(l.start)))
		}
		select {
		case <-l.wake:
		case <-systemTimer.C:
		}
		batch = l.takePending(batch)
		l.wallTime = time.Now()
		l.now = l.wallTime.Sub(l.start)
		for i, callback := range batch {
			callback()
			batch[i] = nil // the slice is used again
		}
		l.timers.fire(l.now)
		afterBatch()
	}
}

// takePending returns the pending calls, and leaves the emptied batch for the next ones.
func (l *Loop) takePending(batch []func()) []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.pending
	l.pending = batch[:0]
	l.pendingTaken.Signal()
	return taken
}

// Now is the time since New. It stands still through a batch.
func (l *Loop) Now() time.Duration { return l.now }

// WallTime is the moment of Now on the wall clock.
func (l *Loop) WallTime() time.Time { return l.wallTime }

// SetNow sets the time that Now and WallTime tell, in tests that do not call Run.
func (l *Loop) SetNow(now time.Duration) {
	l.now = now
	l.wallTime = l.start.Add(now)
}

// ScheduleAt has the loop call back at a time since New, or soon after it.
func (l *Loop) ScheduleAt(deadline time.Duration, callback func()) *Timer {
	return l.timers.schedule(deadline, callback)
}

// Quit ends Run after this batch.
func (l *Loop) Quit() { l.quitting = true }

// HasQuit tells whether Quit was called.
func (l *Loop) HasQuit() bool { return l.quitting }

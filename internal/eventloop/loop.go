// Package eventloop provides an event loop: one goroutine that owns state, runs the calls that other goroutines post
// to it in batches, and fires timers. A server has one, and other parts of a process that wait for events may have
// their own.
package eventloop

import (
	"sync"
	"time"
)

// Loop is an event loop. The goroutine that calls Run owns the Loop and the state that is documented as owned by it.
// Any goroutine may call Post and PostBlocking. The other methods may be called only before Run and, while it runs,
// from posted callbacks, timers and the function that Run calls after each batch.
type Loop struct {
	mu           sync.Mutex
	pending      []func()   // guarded by mu
	pendingTaken *sync.Cond // on mu; signaled when the loop takes the pending calls
	maxPending   int        // PostBlocking waits while pending is longer
	wake         chan struct{}

	// Owned by the goroutine in Run.
	start    time.Time
	now      time.Duration
	wallTime time.Time
	timers   timerQueue
	quitting bool
}

// New returns a loop whose time starts now. PostBlocking waits while more than maxPending calls are pending.
func New(maxPending int) *Loop {
	l := &Loop{maxPending: maxPending, wake: make(chan struct{}, 1), start: time.Now()}
	l.wallTime = l.start
	l.pendingTaken = sync.NewCond(&l.mu)
	return l
}

// Post queues calls for the loop, in order. It never blocks. Any goroutine may call it.
func (l *Loop) Post(callbacks ...func()) {
	l.mu.Lock()
	l.pending = append(l.pending, callbacks...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// PostBlocking is like Post, but blocks while too many calls are pending. It is meant for data read from connections:
// data from peers that send too fast then stays in kernel buffers instead of filling the memory. It must not be called
// by the loop's goroutine, nor by a goroutine that holds a lock that the loop acquires.
func (l *Loop) PostBlocking(callbacks ...func()) {
	l.mu.Lock()
	for len(l.pending) > l.maxPending {
		l.pendingTaken.Wait()
	}
	l.mu.Unlock()
	l.Post(callbacks...)
}

// Run repeats the following until Quit is called: it runs the pending calls as one batch, fires the timers that are due
// and calls afterBatch. The calling goroutine owns the loop until Run returns.
func (l *Loop) Run(afterBatch func()) {
	systemTimer := time.NewTimer(time.Hour) // the only time.Timer of the loop, set to the next deadline
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
		l.runBatch(batch)
		afterBatch()
	}
}

// runBatch runs the calls of a batch and then fires the timers that are due.
func (l *Loop) runBatch(batch []func()) {
	for i, callback := range batch {
		callback()
		batch[i] = nil // the slice is reused
	}
	l.timers.fire(l.now)
}

// takePending returns the pending calls and reuses the slice of the finished batch for the next ones.
func (l *Loop) takePending(batch []func()) []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.pending
	l.pending = batch[:0]
	l.pendingTaken.Signal()
	return taken
}

// Now returns the time since New. It does not change during a batch.
func (l *Loop) Now() time.Duration { return l.now }

// WallTime returns the wall-clock time that corresponds to Now.
func (l *Loop) WallTime() time.Time { return l.wallTime }

// SetNow sets the time that Now and WallTime return. It is for tests that do not call Run.
func (l *Loop) SetNow(now time.Duration) {
	l.now = now
	l.wallTime = l.start.Add(now)
}

// Advance sets the time like SetNow, runs the pending calls as one batch and fires the timers that are due.
func (l *Loop) Advance(now time.Duration) {
	l.SetNow(now)
	l.runBatch(l.takePending(nil))
}

// ScheduleAt schedules a callback on the loop at deadline, a time since New, or soon after it.
func (l *Loop) ScheduleAt(deadline time.Duration, callback func()) *Timer {
	return l.timers.schedule(deadline, callback)
}

// TimerCount returns the number of timers that are scheduled.
func (l *Loop) TimerCount() int { return l.timers.Len() }

// Quit makes Run return after the current batch.
func (l *Loop) Quit() { l.quitting = true }

// HasQuit reports whether Quit was called.
func (l *Loop) HasQuit() bool { return l.quitting }

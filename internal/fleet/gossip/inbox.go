package gossip

import (
	"sync"

	"lanewheel/internal/membership"
)

const (
	// maxInboxSenders bounds the senders between two ticks: a flood of packets with made-up senders must not fill the
	// memory. It is many times the members that one process hears in that time.
	maxInboxSenders = 4096
	// maxInboxCallers bounds the predecessor's callers between two ticks: one of them is enough to find the fleet.
	maxInboxCallers = 4
)

// inbox collects what memberlist's goroutines notice until the event loop's next tick, so that a flood of packets does
// not post a callback each. Its methods may be called on any goroutine.
type inbox struct {
	mu                 sync.Mutex
	senders            map[string]struct{} // guarded by mu
	predecessorCallers []string            // guarded by mu
}

func (i *inbox) noteSender(sender string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.senders == nil {
		i.senders = map[string]struct{}{}
	}
	if len(i.senders) < maxInboxSenders {
		i.senders[sender] = struct{}{}
	}
}

// notePredecessorCaller notes the address of a member that called the process that had our name before.
func (i *inbox) notePredecessorCaller(addr string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.predecessorCallers) < maxInboxCallers {
		i.predecessorCallers = append(i.predecessorCallers, addr)
	}
}

// deliver hands all of it to the table.
func (i *inbox) deliver(table *membership.Table) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for sender := range i.senders {
		table.ObserveSender(sender)
	}
	clear(i.senders)
	for _, addr := range i.predecessorCallers {
		table.AddPredecessorCaller(addr)
	}
	i.predecessorCallers = i.predecessorCallers[:0]
}

package gossip

import (
	"sync"

	"lanewheel/internal/membership"
)

const (
	// maxInboxSenders limits the senders recorded between two ticks, so that a flood of packets with made-up senders
	// cannot fill the memory. It is many times the number of members that one process hears in that time.
	maxInboxSenders = 4096
	// maxInboxCallers limits the predecessor's callers recorded between two ticks: one of them is enough to find the
	// fleet.
	maxInboxCallers = 4
)

// inbox collects observations of memberlist's goroutines until the event loop's next tick, so that a flood of packets
// does not post one callback per packet. Its methods may be called on any goroutine.
type inbox struct {
	mu                 sync.Mutex
	senders            map[string]struct{} // guarded by mu
	predecessorCallers []string            // guarded by mu
}

// noteSender records the sender of a packet or stream.
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

// notePredecessorCaller records the address of a member that called the process that previously had this process's
// name.
func (i *inbox) notePredecessorCaller(addr string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.predecessorCallers) < maxInboxCallers {
		i.predecessorCallers = append(i.predecessorCallers, addr)
	}
}

// deliver passes the recorded senders and callers to table and clears them.
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

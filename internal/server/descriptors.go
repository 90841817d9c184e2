package server

import (
	"os"
	"syscall"
)

// descriptorBudget is how many connections there may be at a time.
type descriptorBudget struct {
	total   int // accepted and dialed
	clients int // accepted
	calls   int // dialed for upstream calls
}

// reservedDescriptors is how many descriptors are open beside the connections of clients and calls.
const reservedDescriptors = 1 + // the listening socket
	2 + // the poller of the library
	2 + // the poller of Go
	2 + // the runtime's link, before and after a move
	2 + // the registry's socket, before and after a move
	1 + // a configuration that is being read
	6 // for a moment: one that is being accepted, the runtime's dial, and four calls' dials

// minCallConns is how many connections for calls there are even where descriptors are few: as many as are dialed at
// a time.
const minCallConns = 4

// assumedOpenDescriptors is assumed to be open where the platform does not tell: what it leaves to a program, and some.
const assumedOpenDescriptors = 16

// divideDescriptors divides a limit on descriptors, of which some are open already. Idle clients must not take what
// is needed for the link to the runtime, calls and reports. Clients may open half the limit, an eighth is for
// connections that are being closed, and a quarter is for calls; where descriptors are few, the reserved ones go
// first and the rest is shared.
func divideDescriptors(limit, alreadyOpen int) descriptorBudget {
	var processLimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &processLimit) == nil && processLimit.Cur < uint64(limit) {
		limit = int(processLimit.Cur)
	}
	budget := descriptorBudget{total: max(3, limit-alreadyOpen-reservedDescriptors)}
	clientsIfScarce := min(limit/2, budget.total-minCallConns)
	budget.clients = max(2, min(limit*5/8, max(budget.total*5/7, clientsIfScarce)))
	budget.calls = max(1, min(limit/4, budget.total-budget.clients))
	return budget
}

// openDescriptors counts the descriptors that are open.
func openDescriptors() int {
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return assumedOpenDescriptors
	}
	return len(open) - 1 // the one that it is read by
}

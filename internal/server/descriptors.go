package server

import (
	"os"
	"syscall"
)

// descriptorBudget is how many connections there may be at a time.
type descriptorBudget struct {
	total   int // accepted and dialled
	clients int // accepted
	calls   int // to the database
}

// reservedDescriptors is how many descriptors we use beside connections of stubs and calls: the listening socket 1, the pollers of the library and of Go 2 each,
// the runtime's link before and after a move 2, reports before and after one 2, a configuration that is being read 1; and for a moment one
// more for what is being accepted, for the runtime's dial and for each of the four calls that are being dialled.
const reservedDescriptors = 1 + 2 + 2 + 2 + 2 + 1 + 6

// divideDescriptors divides the descriptors that were told, of which some are taken before we open any. Danger: idle stubs, as many as may come, use up what we
// need to speak with the runtime, to call below and to report, or more than was told. Stubs may open as many as half the descriptors, an eighth is
// for those that are being closed, and a quarter is for calls; where the descriptors are few, what is ours goes first and they share the rest.
func divideDescriptors(limit, alreadyOpen int) descriptorBudget {
	var machine syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &machine) == nil && machine.Cur < uint64(limit) {
		limit = int(machine.Cur)
	}
	budget := descriptorBudget{total: max(3, limit-alreadyOpen-reservedDescriptors)}
	const minCalls = 4 // as many as are dialled at a time
	budget.clients = max(2, min(limit*5/8, max(budget.total*5/7, min(limit/2, budget.total-minCalls))))
	budget.calls = max(1, min(limit/4, budget.total-budget.clients))
	return budget
}

// openDescriptors is how many descriptors are open.
func openDescriptors() int {
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 16 // what a platform leaves to a program, and some
	}
	return len(open) - 1 // less the one that it is read by
}

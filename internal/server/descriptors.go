package server

import (
	"os"
	"syscall"
)

// descriptorBudget holds the maximum numbers of simultaneous connections.
type descriptorBudget struct {
	total   int // accepted and dialed connections
	clients int // connections accepted from clients
	calls   int // connections dialed for upstream calls
}

// reservedDescriptors is the number of descriptors that are reserved for everything other than client connections and
// upstream calls.
const reservedDescriptors = 1 + // the listening socket
	2 + // the poller of the network library
	2 + // the poller of the Go runtime
	2 + // the links to the service runtime, old and new, while its address changes
	2 + // the sockets to the registry, old and new, while its address changes
	1 + // a configuration file that is being read
	6 // short-lived ones: a connection being accepted, a dial to the service runtime and four dials of calls

// minCallConns is the number of connections that divideDescriptors tries to keep for calls where descriptors are
// scarce: as many as are dialed at the same time.
const minCallConns = 4

// assumedOpenDescriptors is the number of open descriptors that is assumed where it cannot be read from the operating
// system: the descriptors that a process inherits, and a margin.
const assumedOpenDescriptors = 16

// divideDescriptors divides the descriptor limit, or the process's RLIMIT_NOFILE if that is lower, between clients and
// calls. alreadyOpen is the number of descriptors that are already open. Idle clients must not use up the descriptors
// that are needed for the runtime link, for calls and for reports to the registry. Clients may open half of the limit,
// an eighth is for client connections that are being closed, and a quarter is for calls. Where descriptors are scarce,
// the reserved ones are subtracted first and the remainder is shared.
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

// openDescriptors returns the number of descriptors that the process has open.
func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return assumedOpenDescriptors
	}
	return len(entries) - 1 // without the descriptor that ReadDir uses
}

package gossip

import (
	"maps"
	"syscall"
	"time"
)

// counters is what came and what became of it.
func (p *Agent) counters() map[string]uint64 {
	stats := p.table.Stats
	counters := map[string]uint64{"packets-in": p.transport.packetsIn.Load(), "packets-out": p.transport.packetsOut.Load(), "bytes-in": p.transport.bytesIn.Load(), "bytes-out": p.transport.bytesOut.Load(),
		"kept-back": p.transport.suppressed.Load(), "dropped": p.rateLimited.Load(), "bad": p.malformed.Load(), "refused": p.rejectedDescriptors.Load() + stats.RejectedFull,
		"changes": stats.Transitions, "stale": stats.StaleHeartbeats, "oversized": stats.InvalidHeartbeats, "fenced": stats.OutdatedIncarnations, "refuted": stats.RefutedSuspicions, "stood-still": stats.Stalls}
	for code, n := range p.libraryLog.countsByCode() {
		counters["gossip-"+code] = n
	}
	maps.Copy(counters, p.transitions)
	return counters
}

// processCPUTime is the processor time of this process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

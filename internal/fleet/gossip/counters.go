package gossip

import (
	"maps"
	"syscall"
	"time"
)

// counters returns the counts of the agent's packets, messages and events, by the names shown on the status socket.
func (a *Agent) counters() map[string]uint64 {
	stats := a.table.Stats
	counters := map[string]uint64{
		"packets-in":  a.transport.packetsIn.Load(),
		"packets-out": a.transport.packetsOut.Load(),
		"bytes-in":    a.transport.bytesIn.Load(),
		"bytes-out":   a.transport.bytesOut.Load(),
		"kept-back":   a.transport.suppressed.Load(),
		"dropped":     a.rateLimited.Load(),
		"bad":         a.malformed.Load(),
		"refused":     a.rejectedDescriptors.Load() + stats.RejectedFull,
		"changes":     stats.Transitions,
		"stale":       stats.StaleHeartbeats,
		"oversized":   stats.InvalidHeartbeats,
		"fenced":      stats.OutdatedIncarnations,
		"refuted":     stats.RefutedSuspicions,
		"stood-still": stats.Stalls,
	}
	for event, count := range a.libraryLog.countsByEvent() {
		counters["gossip-"+event.counter] = count
	}
	maps.Copy(counters, a.transitions)
	return counters
}

// processCPUTime returns the CPU time used by this process, or 0 if it cannot be determined.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

package drill

import (
	"time"

	"lanewheel/internal/fake"
)

const (
	runtimeCores      = 2                     // of each fake runtime
	runtimeDelayCheck = 20 * time.Millisecond // how often a delayed runtime checks whether it may become ready
)

// serveRuntime runs the fake runtime of a process until its listener is closed. Each incarnation of the process opens a
// new connection to it. A connection that becomes ready marks the return of a process that was out under a permit.
func (c *cluster) serveRuntime(p *process) {
	for incarnation := uint64(0); ; incarnation++ {
		runtime := &fake.Runtime{Listener: p.runtime.Listener}
		if !runtime.TryAccept() {
			return
		}
		for p.isRuntimeDelayed() {
			time.Sleep(runtimeDelayCheck)
		}
		runtime.Faults = p.currentRuntimeFaults
		runtime.SendReady("steady")
		if c.disruptions != nil {
			c.disruptions.recordReturn(p)
		}
		seed := c.script.RandomSeed + incarnation<<32 + uint64(p.index)
		runtime.AutoRun(runtimeCores, c.script.MeanRunTime, seed, func(_, _, body string) { c.onExecution(p, body) })
	}
}

// currentRuntimeFaults returns the faults of the process's runtime: those of the script's timeline, or those of a bad
// release if the timeline sets none.
func (p *process) currentRuntimeFaults() fake.RuntimeFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	badRelease := p.cluster.script.BadRelease
	if p.runtimeFaults == (fake.RuntimeFaults{}) && badRelease.Release != "" && p.release == badRelease.Release {
		return fake.RuntimeFaults{SlowFactor: badRelease.RunTimeFactor, FailRuns: badRelease.FailRuns}
	}
	return p.runtimeFaults
}

func (p *process) setRuntimeFaults(faults fake.RuntimeFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runtimeFaults = faults
}

func (p *process) isRuntimeDelayed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	badRelease := p.cluster.script.BadRelease
	return p.runtimeDelayed || badRelease.NeverReady && p.release == badRelease.Release
}

func (p *process) setRuntimeDelayed(delayed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runtimeDelayed = delayed
}

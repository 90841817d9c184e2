package drill

import (
	"time"

	"lanewheel/internal/fake"
)

// serveRuntime is a process's runtime: whichever link comes, it is up and works, as often as the process is started.
func (w *cluster) serveRuntime(p *process) {
	for life := uint64(0); ; life++ {
		runtime := &fake.Runtime{Listener: p.runtime.Listener}
		if !runtime.TryAccept() {
			return
		}
		for p.isRuntimeDelayed() {
			time.Sleep(20 * time.Millisecond)
		}
		runtime.Faults = p.currentRuntimeFaults
		runtime.SendReady("steady")
		if w.disruptions != nil {
			w.disruptions.noteBack(p)
		}
		runtime.AutoRun(2, w.script.MeanRunTime, w.script.RandomSeed+life<<32+uint64(p.index), func(_, _, body string) { w.onExecution(p, body) })
	}
}

func (p *process) currentRuntimeFaults() fake.RuntimeFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bad, is := p.cluster.releaseFaults(p.release); is && p.runtimeFaults == (fake.RuntimeFaults{}) {
		return bad
	}
	return p.runtimeFaults
}

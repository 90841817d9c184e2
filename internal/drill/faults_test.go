package drill

import (
	"os/exec"
	"testing"

	"lanewheel/internal/config"
)

// A process that the coordinators started again while a fault had it ended is left alone when the fault is over:
// a second one would find its addresses taken.
func TestUndoKeepsRunningProcess(t *testing.T) {
	for _, action := range []config.DrillAction{config.ActionKill, config.ActionWipe, config.ActionLeave} {
		running := &exec.Cmd{}
		p := &process{name: "p000", dir: t.TempDir(), cmd: running}
		if err := p.undo(&config.DrillFault{Action: action}); err != nil {
			t.Errorf("%v: %v", action, err)
		}
		if p.cmd != running {
			t.Errorf("%v: another process was started", action)
		}
	}
}

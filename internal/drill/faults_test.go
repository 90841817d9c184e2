package drill

import (
	"os/exec"
	"testing"

	"lanewheel/internal/config"
)

// TestUndoKeepsRunningProcess checks that the end of a fault starts no second process if the coordinators have
// restarted the process during the fault: the addresses of the second process would be in use.
func TestUndoKeepsRunningProcess(t *testing.T) {
	for _, action := range []config.DrillAction{config.ActionKill, config.ActionWipe, config.ActionLeave} {
		running := &exec.Cmd{}
		p := &process{name: "p000", dir: t.TempDir(), cmd: running}
		if err := p.undo(&config.DrillFault{Action: action}); err != nil {
			t.Errorf("%v: %v", action, err)
		}
		if p.cmd != running {
			t.Errorf("%v: undo started another process", action)
		}
	}
}

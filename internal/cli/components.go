package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"lanewheel/internal/config"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/logging"
)

// Components is what only a program brings that has the fleet's parts linked. Those that run a process take the
// operator's file and the log's format, and return when it has ended.
type Components struct {
	JoinFleet     lifecycle.FleetJoiner
	RunProxy       func(operatorPath, logFormat string) error
	RunAllocator   func(operatorPath, logFormat string) error
	ShowMembers    func(fleet config.Fleet, against []string, asJSON bool, out io.Writer) error
	RunDrill       func(script *config.Drill, record, picture string, out io.Writer) (violations int, err error)
	ShowRecord     func(record, picture string, out io.Writer) error
	CompareRecords func(first, second string, out io.Writer) error
	CoordinatorFuncs
}

// CoordinatorFuncs is what a program brings that can ask the coordinators. One that can't be a coordinator has no
// RunCoordinator.
type CoordinatorFuncs struct {
	Request        func(command CoordinatorCommand, out io.Writer) error
	RunCoordinator func(operatorPath, logFormat string, bootstrap, forceNewCluster bool) error
	RunDrillHook   func(socket, name, release string, out io.Writer) error
}

// components is what the program has linked, nil for lanewheel itself. Link sets it before Main.
var components *Components

// Link says what is linked. It is called once, before Main.
func Link(parts Components) { components = &parts }

// The programs that stand beside lanewheel: fleetProgram has the fleet's parts linked, coordinatorProgram the
// coordinators' log, too.
const (
	fleetProgram       = "lanewheel-fleet"
	coordinatorProgram = "lanewheel-coordinator"
)

// runWithComponents runs what a command needs of the fleet's parts, or hands over to the program that has them.
func runWithComponents(run func(linked *Components) error) error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	return run(components)
}

// execProgram hands this process over to a sibling, with the same command line: its number, files and signals stay as
// they are. It returns only with an error.
func execProgram(name string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	logging.Flush()
	err = syscall.Exec(path, append([]string{path}, forwardedArgs...), os.Environ())
	return fmt.Errorf("this needs %s, which is built with lanewheel and stands beside it: %w", name, err)
}

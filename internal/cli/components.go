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

// Components holds the functions that only a program linked with the fleet packages provides. Those that run a process
// take the path of the operator's file and the log format, and return when the process has ended.
type Components struct {
	JoinFleet      lifecycle.FleetJoiner
	RunProxy       func(operatorPath, logFormat string) error
	RunAllocator   func(operatorPath, logFormat string) error
	ShowMembers    func(fleet config.Fleet, against []string, asJSON bool, out io.Writer) error
	RunDrill       func(script *config.Drill, record, picture string, out io.Writer) (violations int, err error)
	ShowRecord     func(record, picture string, out io.Writer) error
	CompareRecords func(first, second string, out io.Writer) error
	CoordinatorFuncs
}

// CoordinatorFuncs holds the functions of a program that can send requests to the coordinators. RunCoordinator is nil
// in a program that can't run as a coordinator.
type CoordinatorFuncs struct {
	Request        func(command CoordinatorCommand, out io.Writer) error
	RunCoordinator func(operatorPath, logFormat string, bootstrap, forceNewCluster bool) error
	RunDrillHook   func(socket, name, release string, out io.Writer) error
}

// components holds the linked functions. It is nil in lanewheel itself. Link sets it before Main runs.
var components *Components

// Link registers the linked functions. It must be called at most once, before Main.
func Link(parts Components) { components = &parts }

// The sibling programs, which are installed in the same directory as lanewheel. fleetProgram is linked with the fleet
// packages, coordinatorProgram also with the coordinators' replicated log.
const (
	fleetProgram       = "lanewheel-fleet"
	coordinatorProgram = "lanewheel-coordinator"
)

// runWithComponents calls run with the linked functions. In a program without them it executes fleetProgram instead.
func runWithComponents(run func(linked *Components) error) error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	return run(components)
}

// execProgram replaces this process by a sibling program with the same command line. The process ID, open files and
// signal settings are kept. It returns only on error.
func execProgram(name string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	logging.Flush()
	err = syscall.Exec(path, append([]string{path}, forwardedArgs...), os.Environ())
	return fmt.Errorf("cannot execute %s, which is built with lanewheel and must be in the same directory: %w", name, err)
}

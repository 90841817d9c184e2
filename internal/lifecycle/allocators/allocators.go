// Package allocators is the start and the stop of a desk beside a service below.
package allocators

import (
	"log/slog"
	"runtime"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/filelock"
	"lanewheel/internal/fleet/allocator"
	"lanewheel/internal/lifecycle"
)

// Attach brings a desk into its fleet and gives what takes an operator's file that was read anew.
type Attach func(d *allocator.Server, o *lifecycle.OperatorConfig) (reload func(*lifecycle.OperatorConfig), err error)

// shutdownTimeout is how long a desk takes to leave: its word has to get through.
const shutdownTimeout = time.Second

// Run starts the desk that the operator's file tells of, and grants until it is told to go.
func Run(configPath, logFormat string, attach Attach) error {
	signals, operatorConfig, err := lifecycle.StartStandalone(configPath, logFormat, "wants the sections [fleet] and [allocator]", func(f *config.Operator) bool { return f.Allocator.Enabled })
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(2) // one for the gossip's sockets
	if path := operatorConfig.File.Allocator.LockFile; path != "" {
		fileLock, err := filelock.Acquire(path, func() bool {
			select {
			case <-signals.Terminate:
				return false
			case <-time.After(200 * time.Millisecond):
				return true
			}
		})
		if err != nil {
			return err
		}
		defer fileLock.Close()
	}
	server := allocator.New(operatorConfig.File.Allocator.Config, operatorConfig.File.Fleet.ServiceAddress)
	reload, err := attach(server, &operatorConfig)
	if err != nil {
		return err
	}
	slog.Info("desk", "name", operatorConfig.File.Fleet.Name, "service", operatorConfig.File.Fleet.ServiceAddress, "cap", operatorConfig.File.Allocator.Config.Capacity, "room", operatorConfig.File.Allocator.Config.LeasableCalls())
	go lifecycle.HandleSignals(signals, configPath, operatorConfig, func() { server.Post(func() { server.Shutdown(shutdownTimeout) }) }, reload)
	server.Serve()
	return nil
}

// Package allocators starts and stops an allocator, the process next to an upstream service that leases the service's
// concurrency to the fleet.
package allocators

import (
	"io"
	"log/slog"
	"runtime"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/filelock"
	"lanewheel/internal/fleet/allocator"
	"lanewheel/internal/lifecycle"
)

// shutdownTimeout is the maximum time that an allocator takes to leave the fleet.
const shutdownTimeout = time.Second

// lockRetryInterval is the interval between attempts to acquire a lock that another process holds.
const lockRetryInterval = 200 * time.Millisecond

// Attach connects an allocator to its fleet before it serves. The returned function applies an operator's file that was
// read again; it is called on the goroutine that handles signals.
type Attach func(
	server *allocator.Server, operatorConfig *lifecycle.OperatorConfig,
) (reload func(*lifecycle.OperatorConfig), err error)

// Run starts the allocator that the operator's file configures, and serves until a signal to terminate. While another
// process holds the lock file, it waits. It is called on the main goroutine.
func Run(options lifecycle.Options, attach Attach) error {
	started, err := lifecycle.StartStandalone(options, "must have the sections [fleet] and [allocator]",
		func(file *config.Operator) bool { return file.Allocator.Enabled })
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(lifecycle.AgentProcessors)
	section, fleet := &started.OperatorConfig.File.Allocator, &started.OperatorConfig.File.Fleet
	if section.LockFile != "" {
		lock, err := acquireLock(section.LockFile, started)
		if err != nil {
			return err
		}
		defer func() { _ = lock.Close() }() // the kernel releases it in any case
	}
	server := allocator.New(section.Config, fleet.ServiceAddress)
	reload, err := attach(server, &started.OperatorConfig)
	if err != nil {
		return err
	}
	slog.Info("allocator started", "member", fleet.Name, "service", fleet.ServiceAddress,
		"capacity", section.Config.Capacity, "leasable", section.Config.LeasableCalls())
	shutdown := func() { server.Post(func() { server.Shutdown(shutdownTimeout) }) }
	go started.HandleSignals(shutdown, reload)
	server.Serve()
	return nil
}

// acquireLock waits for the lock. It returns an error if a signal to terminate arrives before it has the lock.
func acquireLock(path string, started *lifecycle.Standalone) (io.Closer, error) {
	return filelock.Acquire(path, func() bool {
		select {
		case <-started.TerminateSignals():
			return false
		case <-time.After(lockRetryInterval):
			return true
		}
	})
}

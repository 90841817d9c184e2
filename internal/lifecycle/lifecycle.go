// Package lifecycle starts, reloads, drains and stops a service instance: it reads the configuration and the operator's
// file, connects the components and handles signals. The packages below it do the same for the other processes of
// a fleet.
//
// Run, and Run of the packages below, are called on the main goroutine. Signals are handled on a separate goroutine,
// which accesses a running server only through its Post.
package lifecycle

import (
	"errors"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"lanewheel/internal/logging"
	"lanewheel/internal/server"
)

// Options holds the options that a process is started with.
type Options struct {
	ConfigPath   string         // path of the platform's configuration (JSON)
	OperatorPath string         // path of the operator's file (INI); empty if there is none
	LogFormat    logging.Format // if empty, the operator's file sets the format
}

// Run starts an instance and serves until it has drained. joinFleet is nil in a program that is linked without the
// fleet components. The error is a diagnostic.List if a file is invalid, ErrFleetNotLinked, or the reason why
// something could not be opened.
func Run(options Options, joinFleet FleetJoiner) error {
	signals := notifySignals()
	logging.Setup(os.Stderr, options.LogFormat)
	config, err := LoadConfig(options.ConfigPath)
	if err != nil {
		return err
	}
	operatorConfig, err := LoadOperatorConfig(options.OperatorPath)
	if err != nil {
		return err
	}
	needsFleet := operatorConfig.File.Fleet.Enabled || operatorConfig.File.Upstream.Enabled
	if needsFleet && joinFleet == nil {
		return ErrFleetNotLinked
	}
	options.setLogFormat(&operatorConfig)
	operatorConfig.File.Renamed.Warn()
	otherPollers := 0
	if operatorConfig.File.AMQP.Enabled {
		otherPollers = 1
	}
	SetRuntimeLimits(&config, otherPollers)
	reload := newReloader(options, operatorConfig)
	config.Authn = operatorConfig.Authn
	config.TLS = operatorConfig.tlsListener(&reload.serverTLS)
	reload.server, err = openServer(config, signals.terminate)
	if reload.server == nil {
		return err
	}
	attachFrontends(reload.server, &config, &operatorConfig)
	if needsFleet {
		reload.reloadFleet, err = joinFleet(reload.server, config, &operatorConfig)
		if err != nil {
			return err
		}
	}
	go reload.handleSignals(signals)
	slog.Info("listening", "name", config.Name, "addr", config.ListenAddr)
	if operatorConfig.serverTLS != nil {
		listener := &operatorConfig.File.TLS
		slog.Info("listening", "name", config.Name, "addr", listener.ListenAddress, "tls", listener.MinVersion)
	}
	reload.server.Serve()
	return nil
}

// setLogFormat sets the log format from the operator's file, unless the options set one.
func (o *Options) setLogFormat(operatorConfig *OperatorConfig) {
	if o.LogFormat == "" {
		logging.Setup(os.Stderr, logging.Format(operatorConfig.File.Log.Format))
	}
}

// SetRuntimeLimits limits the processors (GOMAXPROCS) and the heap of the Go runtime by the cores and the memory of a
// configuration. The number of processors is the number of cores, rounded up: a further processor, with only part of
// a core to run on, would wake and sleep for each message. otherPollers is the number of components whose sockets do
// not wait in the runtime's poller; one processor is added for each, because such a component occupies a processor for
// a while when it waits. Half of the memory is reserved for the kernel and the binary.
func SetRuntimeLimits(config *server.Config, otherPollers int) {
	const heapBytesPerMB = 1 << 19
	runtime.GOMAXPROCS(int(math.Ceil(config.Cores)) + otherPollers)
	debug.SetMemoryLimit(int64(config.MemoryMB * heapBytesPerMB))
}

const (
	addressInUseTimeout  = 3 * time.Second // longer than the last steps of a drain
	addressRetryInterval = 20 * time.Millisecond
)

// openServer returns a server that listens. While its address is in use it retries for up to addressInUseTimeout,
// because the process that it replaces may not have finished its drain. If a signal to terminate arrives meanwhile, it
// returns neither a server nor an error.
func openServer(config server.Config, terminate <-chan os.Signal) (*server.Server, error) {
	for start := time.Now(); ; {
		opened, err := server.New(config)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) > addressInUseTimeout {
			return opened, err
		}
		select {
		case <-terminate:
			return nil, nil
		case <-time.After(addressRetryInterval):
		}
	}
}

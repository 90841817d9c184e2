// Package lifecycle starts, reloads, drains and stops a service instance: it reads the configuration and the operator's
// file, puts the parts together and carries out what signals ask for. The packages below it do the same for the other
// processes of a fleet.
//
// Run, and Run of the packages below, are called on the main goroutine. What signals ask for is carried out on one
// of its own, which reaches a running server by its Post alone.
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

// Options is what a process is started with.
type Options struct {
	ConfigPath   string         // of the platform's configuration, JSON
	OperatorPath string         // of the operator's file, INI; empty: none
	LogFormat    logging.Format // empty: the operator's file says
}

// Run starts an instance and serves until it has drained. joinFleet is nil in a program that has no parts of a fleet
// linked. The error is a diagnostic.List if a file is wrong, ErrFleetNotLinked, or why something could not be opened.
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

// setLogFormat has the log follow the operator's file, unless a format was given.
func (o *Options) setLogFormat(operatorConfig *OperatorConfig) {
	if o.LogFormat == "" {
		logging.Setup(os.Stderr, logging.Format(operatorConfig.File.Log.Format))
	}
}

// SetRuntimeLimits limits Go's processors and heap by the cores and the memory of a configuration. There are as
// many processors as cores, rounded up: a further one on a part of a core would wake and sleep for each message.
// otherPollers counts the parts whose sockets do not wait in the poller, as each keeps a processor for a while when
// it waits. Half of the memory is left to the kernel and the binary.
func SetRuntimeLimits(config *server.Config, otherPollers int) {
	const heapBytesPerMB = 1 << 19
	runtime.GOMAXPROCS(int(math.Ceil(config.Cores)) + otherPollers)
	debug.SetMemoryLimit(int64(config.MemoryMB * heapBytesPerMB))
}

const (
	addressTimeout       = 3 * time.Second // longer than the last steps of a drain
	addressRetryInterval = 20 * time.Millisecond
)

// openServer returns a server that listens. While its address is in use it tries again, as the process that it replaces
// may still be in the last moments of its drain. It returns neither a server nor an error if the process is told to end
// meanwhile.
func openServer(config server.Config, terminate <-chan os.Signal) (*server.Server, error) {
	for began := time.Now(); ; {
		opened, err := server.New(config)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > addressTimeout {
			return opened, err
		}
		select {
		case <-terminate:
			return nil, nil
		case <-time.After(addressRetryInterval):
		}
	}
}

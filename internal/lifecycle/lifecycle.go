// Package lifecycle is the start and the stop of a service instance.
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

// Run starts the instance that the configuration at path and the operator's file, if one is named, tell of, and serves
// until it is told to go. format is text or json; empty, the operator's file says.
func Run(configPath, operatorPath, logFormat string) error {
	signals := notifySignals()
	logging.Setup(os.Stderr, logging.Format(logFormat))
	config, err := LoadConfig(configPath)
	if err != nil {
		return err
	}
	operatorConfig, err := LoadOperatorConfig(operatorPath)
	if err != nil {
		return err
	}
	needsFleet := operatorConfig.File.Fleet.Enabled || operatorConfig.File.Upstream.Enabled
	if needsFleet && JoinFleet == nil {
		return ErrFleetNotLinked
	}
	if logFormat == "" {
		logging.Setup(os.Stderr, logging.Format(operatorConfig.File.Log.Format))
	}
	operatorConfig.File.Renamed.Warn()
	// One processor for each core told, and no more: a second one on a part of a core wakes and sleeps for each message.
	processors := int(math.Ceil(config.Cores))
	// A further front waits for its sockets otherwise than the poller does, which keeps a processor for up to 10 ms while it waits:
	// with one alone the 99th percentile of stubs' ops under a flood of messages is 7.3 ms instead of 4.5.
	if operatorConfig.File.AMQP.Enabled {
		processors++
	}
	runtime.GOMAXPROCS(processors)
	// Half the limit: the rest is for what the kernel and the binary itself take.
	debug.SetMemoryLimit(int64(config.MemoryMB * (1 << 19)))
	reload := &reloader{configPath: configPath, operatorPath: operatorPath, operatorConfig: operatorConfig, pause: func() { time.Sleep(stableFor) }}
	config.Authn, config.TLS = operatorConfig.Authn, operatorConfig.tlsListener(&reload.serverTLS)
	if reload.server, err = openServer(config, signals.Terminate); reload.server == nil {
		return err
	}
	attachFrontends(reload.server, config, &operatorConfig)
	if needsFleet {
		if reload.reloadFleet, err = JoinFleet(reload.server, config, &operatorConfig); err != nil {
			return err
		}
	}
	go reload.handleSignals(signals)
	slog.Info("listening", "name", config.Name, "addr", config.ListenAddr)
	if operatorConfig.serverTLS != nil {
		slog.Info("listening", "name", config.Name, "addr", operatorConfig.File.TLS.ListenAddress, "tls", operatorConfig.File.TLS.MinVersion)
	}
	reload.server.Serve()
	return nil
}

// openServer makes the instance. Danger: one that is started anew, while the last moments of the life before it still hold the address, ends at once, and
// its platform counts that as a crash. The address is tried for again for some seconds, longer than a drain's last steps; the notice to leave
// ends that, and there is no instance then and no error.
func openServer(config server.Config, terminate <-chan os.Signal) (*server.Server, error) {
	const addressTimeout, retryInterval = 3 * time.Second, 20 * time.Millisecond
	for began := time.Now(); ; {
		instance, err := server.New(config)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > addressTimeout {
			return instance, err
		}
		select {
		case <-terminate:
			return nil, nil
		case <-time.After(retryInterval):
		}
	}
}

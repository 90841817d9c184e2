// Package proxies starts and stops a proxy, the process that forwards requests to the instances of a fleet.
package proxies

import (
	"log/slog"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/proxy"
	"lanewheel/internal/server"
)

// lastMessageDelay is the time that the last gossip message takes to leave the process.
const lastMessageDelay = 10 * time.Millisecond

// Join returns a proxy that listens and has joined its fleet. The returned function applies an operator's file that was
// read again; it is called on the goroutine that handles signals.
type Join func(
	config server.Config, operatorConfig *lifecycle.OperatorConfig,
) (joined *proxy.Proxy, reload func(*lifecycle.OperatorConfig), err error)

// Run starts the proxy that the platform's configuration and the operator's file configure, and forwards requests
// until it has drained. It is called on the main goroutine.
func Run(options lifecycle.Options, join Join) error {
	started, err := lifecycle.StartStandalone(options, "must have the sections [fleet] and [proxy]",
		func(file *config.Operator) bool { return file.Fleet.Enabled && file.Proxy.Enabled })
	if err != nil {
		return err
	}
	platform, err := lifecycle.LoadConfig(options.ConfigPath)
	if err != nil {
		return err
	}
	lifecycle.SetRuntimeLimits(&platform, 1) // the gossip's sockets do not wait in the poller
	joined, reload, err := join(platform, &started.OperatorConfig)
	if err != nil {
		return err
	}
	slog.Info("listening", "name", platform.Name, "addr", platform.ListenAddr, "role", "proxy")
	go started.HandleSignals(func() { joined.Post(joined.Drain) }, reload)
	joined.Serve()
	time.Sleep(lastMessageDelay) // the last responses have already been handed to the kernel
	return nil
}

// Package proxies is the start and the stop of a relay.
package proxies

import (
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/proxy"
	"lanewheel/internal/server"
)

// Join brings a relay into its fleet: it gives the relay, which listens, and what takes an operator's file that was read anew.
type Join func(config server.Config, o *lifecycle.OperatorConfig) (r *proxy.Proxy, reload func(*lifecycle.OperatorConfig), err error)

// Run starts the relay that the configuration at path and the operator's file tell of, and passes ops on until it is told to go.
func Run(platformPath, operatorPath, logFormat string, join Join) error {
	signals, operatorConfig, err := lifecycle.StartStandalone(operatorPath, logFormat, "wants the sections [fleet] and [proxy]", func(file *config.Operator) bool { return file.Fleet.Enabled && file.Proxy.Enabled })
	if err != nil {
		return err
	}
	platform, err := lifecycle.LoadConfig(platformPath)
	if err != nil {
		return err
	}
	// One processor more than cores: the gossip's sockets wait elsewhere than in the poller, as a further front's of an instance.
	runtime.GOMAXPROCS(int(math.Ceil(platform.Cores)) + 1)
	debug.SetMemoryLimit(int64(platform.MemoryMB * (1 << 19)))
	proxy, reload, err := join(platform, &operatorConfig)
	if err != nil {
		return err
	}
	slog.Info("listening", "name", platform.Name, "addr", platform.ListenAddr, "relay", true)
	go lifecycle.HandleSignals(signals, operatorPath, operatorConfig, func() { proxy.Post(proxy.Drain) }, reload)
	proxy.Serve()
	// The last answers lie in the kernel's hands by now; a moment for the gossip's last word.
	time.Sleep(10 * time.Millisecond)
	return nil
}

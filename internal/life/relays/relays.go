// Package relays is the start and the stop of a relay.
package relays

import (
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"lanewheel/internal/keep"
	"lanewheel/internal/life"
	"lanewheel/internal/operator"
	"lanewheel/internal/relay"
)

// Join brings a relay into its fleet: it gives the relay, which listens, and what takes an operator's file that was read anew.
type Join func(config keep.Config, o *life.OperatorConfig) (r *relay.Relay, reload func(*life.OperatorConfig), err error)

// Live starts the relay that the configuration at path and the operator's file tell of, and passes ops on until it is told to go.
func Live(path, operated, format string, join Join) error {
	signals, with, err := life.StartStandalone(operated, format, "wants the sections [fleet] and [relay]", func(f *operator.File) bool { return f.Fleet.On && f.Relay.On })
	if err != nil {
		return err
	}
	config, err := life.LoadConfig(path)
	if err != nil {
		return err
	}
	// One processor more than cores: the gossip's sockets wait elsewhere than in the poller, as a further front's of an instance.
	runtime.GOMAXPROCS(int(math.Ceil(config.Cores)) + 1)
	debug.SetMemoryLimit(int64(config.MemoryMB * (1 << 19)))
	r, reload, err := join(config, &with)
	if err != nil {
		return err
	}
	slog.Info("listening", "name", config.Name, "addr", config.ListenAddr, "relay", true)
	go life.HandleSignals(signals, operated, with, func() { r.Hand(r.Leave) }, reload)
	r.Serve()
	// The last answers lie in the kernel's hands by now; a moment for the gossip's last word.
	time.Sleep(10 * time.Millisecond)
	return nil
}

// Package desks is the start and the stop of a desk beside a service below.
package desks

import (
	"log/slog"
	"runtime"
	"time"

	"lanewheel/internal/fleet/desk"
	"lanewheel/internal/life"
	"lanewheel/internal/lock"
	"lanewheel/internal/operator"
)

// Join brings a desk into its fleet and gives what takes an operator's file that was read anew.
type Join func(d *desk.Desk, o *life.OperatorConfig) (reload func(*life.OperatorConfig), err error)

// stop is how long a desk takes to leave: its word has to get through.
const stop = time.Second

// Live starts the desk that the operator's file tells of, and grants until it is told to go.
func Live(operated, format string, join Join) error {
	signals, with, err := life.StartStandalone(operated, format, "wants the sections [fleet] and [grants]", func(f *operator.File) bool { return f.Grants.On })
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(2) // one for the gossip's sockets
	if path := with.File.Grants.Lock; path != "" {
		held, err := lock.Hold(path, func() bool {
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
		defer held.Close()
	}
	d := desk.New(with.File.Grants.Told, with.File.Fleet.Serves)
	reload, err := join(d, &with)
	if err != nil {
		return err
	}
	slog.Info("desk", "name", with.File.Fleet.Name, "service", with.File.Fleet.Serves, "cap", with.File.Grants.Told.Cap, "room", with.File.Grants.Told.Room())
	go life.HandleSignals(signals, operated, with, func() { d.Hand(func() { d.Leave(stop) }) }, reload)
	d.Serve()
	return nil
}

// Package desk is the process beside a service below: it says in the fleet where the service is and whether it takes connections, and grants
// instances their calls. internal/grants decides.
package desk

import (
	"log/slog"
	"net"
	"time"

	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/grants"
	"lanewheel/internal/loop"
	"lanewheel/internal/members"
)

// Desk is one such process: a gossip.Process. All of it belongs to its loop.
type Desk struct {
	*loop.Loop
	service string
	told    grants.Config
	desk    *grants.Allocator
	part    *gossip.Agent
	up      bool // the service takes connections
	leaving bool
	calls   int // granted, as last logged
}

// New makes a desk that grants nothing yet.
func New(told grants.Config, service string) *Desk {
	return &Desk{Loop: loop.New(1 << 12), service: service, told: told}
}

// Join gives it the part by which it speaks to the fleet, before that is started.
func (d *Desk) Join(part *gossip.Agent) {
	d.part = part
	d.desk = grants.NewAllocator(d.told, part.View().Self.BootID, d.Now())
	part.OnLeaseRequest = func(a grants.Request, answer func(grants.Lease)) {
		d.Post(func() {
			if g, ok := d.desk.HandleRequest(d.Now(), a); ok {
				answer(g)
			}
		})
	}
	part.Subscribe(func(v *members.View) {
		if v.LocalHealth == members.LocalFenced { // Danger: two that grant the same calls
			d.Post(d.desk.Fence)
		}
	})
}

// Retell takes values that were told anew.
func (d *Desk) Retell(told grants.Config) { d.Post(func() { d.desk.SetConfig(told, d.Now()) }) }

// Serve runs the loop until the desk has left.
func (d *Desk) Serve() {
	d.Post(func() { d.note() })
	go d.look()
	d.Run(func() {})
}

// look sees, once a second, whether the service takes connections. It works beside the loop, as a connection may take its time.
func (d *Desk) look() {
	for {
		c, err := net.DialTimeout("tcp", d.service, 500*time.Millisecond)
		if err == nil {
			c.Close()
		}
		d.Post(func() {
			if up := err == nil; up != d.up {
				d.up = up
				slog.Info("service", "addr", d.service, "up", up)
			}
		})
		time.Sleep(time.Second)
	}
}

// note writes how much is granted where that has changed by much.
func (d *Desk) note() {
	calls, holders := d.desk.Committed(d.Now())
	if step := max(4, d.told.Capacity/4); calls-d.calls >= step || d.calls-calls >= step || calls == 0 && d.calls > 0 {
		d.calls = calls
		slog.Info("granted", "calls", calls, "of", d.told.LeasableCalls(), "holders", holders, "quiet", d.desk.RenewOnly(d.Now()))
	}
	d.ScheduleAt(d.Now()+time.Second, d.note)
}

// Report is gossip.Process.
func (d *Desk) Report(then func(gossip.ProcessStatus)) {
	d.Post(func() {
		calls, holders := d.desk.Committed(d.Now())
		then(gossip.ProcessStatus{Ready: d.up, Draining: d.leaving, Metrics: []members.Metric{{Name: "cap", Value: float64(d.told.Capacity)},
			{Name: "granted", Value: float64(calls)}, {Name: "holders", Value: float64(holders)}}})
	})
}

// Load is gossip.Process.
func (d *Desk) Load(then func(float64, gossip.RequestStats)) {
	d.Post(func() {
		calls, _ := d.desk.Committed(d.Now())
		then(float64(calls), gossip.RequestStats{})
	})
}

// Drain is gossip.Process: what was granted runs out, and the service is no member's any more.
func (d *Desk) Drain(number uint64) { d.Post(func() { d.Leave(time.Second) }) }

// Fenced is gossip.Process.
func (d *Desk) Fenced() { d.Post(d.desk.Fence) }

// Leave is the notice to go: what was granted runs out by itself.
func (d *Desk) Leave(within time.Duration) {
	if d.leaving {
		return
	}
	d.leaving = true
	slog.Info("leaving", "kill_ms", within.Milliseconds())
	d.part.Drain(within)
	d.left(d.Now() + within + 200*time.Millisecond)
}

func (d *Desk) left(last time.Duration) {
	if d.part.Drained() || d.Now() >= last {
		d.Quit()
		return
	}
	d.ScheduleAt(d.Now()+10*time.Millisecond, func() { d.left(last) })
}

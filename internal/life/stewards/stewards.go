// Package stewards is the start and the stop of a steward.
package stewards

import (
	"log/slog"
	"runtime"
	"time"

	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/fleet/steward"
	"lanewheel/internal/life"
	"lanewheel/internal/members"
	"lanewheel/internal/operator"
)

// Join makes the part of a steward that speaks to the fleet, and gives what takes an operator's file that was read anew.
type Join func(p gossip.Process, o *life.OperatorConfig) (part *gossip.Part, reload func(*life.OperatorConfig), err error)

// stop is how long a steward takes to leave.
const stop = 2 * time.Second

// Live starts the steward that the operator's file tells of.
func Live(operated, format string, begin, alone bool, join Join) error {
	signals, with, err := life.StartStandalone(operated, format, "wants the sections [fleet] and [steward]", func(f *operator.File) bool { return f.Steward.On })
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(2)
	told := with.File.Steward.Told
	told.Begin, told.Alone, told.Keys = begin, alone, with.ClusterKeys
	s, err := steward.New(told)
	if err != nil {
		return err
	}
	p := &speaker{s: s}
	part, reload, err := join(p, &with)
	if err != nil {
		return err
	}
	p.part = part
	part.Begins = s.Begins
	part.Start()
	slog.Info("steward", "name", told.Name, "at", told.At, "others", len(told.Others))
	go life.HandleSignals(signals, operated, with, func() { p.leave() }, func(o *life.OperatorConfig) {
		reload(o)
		s.Put(o.ClusterKeys)
	})
	s.Serve(p)
	for end := time.Now().Add(stop); !part.Closed() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// speaker speaks for a steward in the fleet: a gossip.Process and a steward.Fleet.
type speaker struct {
	s    *steward.Steward
	part *gossip.Part
}

func (p *speaker) Report(then func(gossip.Report)) {
	leads := 0.0
	if p.s.Leads() {
		leads = 1
	}
	then(gossip.Report{Ready: p.s.Ready(), Facts: []members.Fact{{Key: "leads", Value: leads}}})
}

func (p *speaker) Load(then func(float64, gossip.Figures)) { then(0, gossip.Figures{}) }

// Drain has it leave: stewards go out by permits as all members do.
func (p *speaker) Drain(uint64) { p.leave() }
func (p *speaker) Fenced()      { p.leave() }

func (p *speaker) leave() {
	slog.Info("leaving", "kill_ms", stop.Milliseconds())
	p.part.Leave(stop)
	p.s.Leave()
}

func (p *speaker) View() *members.View { return p.part.View() }

func (p *speaker) Nudge(name members.Name, of members.Incarnation, number uint64, begun bool) {
	p.part.Nudge(name, of, number, begun)
}

func (p *speaker) Figures(name members.Name, then func(gossip.Figures)) {
	p.part.Hand(func() { p.part.AskFigures(name, then) })
}

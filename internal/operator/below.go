package operator

import (
	"net"
	"time"

	"lanewheel/internal/below"
	"lanewheel/internal/grants"
	"lanewheel/internal/handover"
	"lanewheel/internal/pass"
	"lanewheel/internal/spread"
)

// Below is the services that an instance's calls go to.
type Below struct {
	On   bool
	Told below.Told
}

func (r *reader) below(f *Fleet) Below {
	b := Below{Told: below.Told{Spread: spread.Usual(), Calls: 8, Longest: 5 * time.Second}}
	s := r.section("below")
	b.On = s.given()
	b.Told.Spread.Zone = f.Zone
	b.Told.Addrs = s.list("services")
	for _, addr := range b.Told.Addrs {
		s.address("services", addr)
	}
	if b.On && !f.On && len(b.Told.Addrs) == 0 {
		s.wrong("services", "", "wants addresses, or a section [fleet] by which members with the role below are known")
	}
	s.count("calls", &b.Told.Calls, 0, 100_000)
	s.span("longest", &b.Told.Longest, 10*time.Millisecond, time.Hour)
	s.chooser(&b.Told.Spread)
	s.close()
	return b
}

// Grants is the desk beside a service below.
type Grants struct {
	On   bool
	Lock string // a file that one desk alone may hold; empty for none
	Told grants.Told
}

func (r *reader) grants(f *Fleet) Grants {
	g := Grants{Told: grants.Usual()}
	s := r.section("grants")
	g.On = s.given()
	switch {
	case g.On && !f.On:
		s.wrong("", "", "wants a section [fleet], by which the holders are known")
	case g.On && (f.Name == "" || f.Serves == ""):
		s.wrong("", "", "wants fleet.name, and in fleet.serves where the service is")
	}
	s.path("lock", &g.Lock)
	t := &g.Told
	if g.On {
		t.Cap = 0
		s.count("cap", &t.Cap, 1, 1_000_000)
		if t.Cap == 0 {
			s.wrong("cap", "", "wants the calls at a time that the service takes")
		}
	}
	s.count("alone", &t.Alone, 0, 1000)
	s.count("processes", &t.Processes, 1, 100_000)
	s.span("holds", &t.Holds, 200*time.Millisecond, time.Minute)
	s.span("longest", &t.Longest, 10*time.Millisecond, time.Hour)
	s.number("drift", &t.Drift, 0, 0.2)
	s.count("holders", &t.Holders, 1, 10_000)
	if g.On && t.Cap > 0 && t.Room() == 0 {
		s.wrong("alone", "", "leaves nothing to be granted: cap is no more than alone times processes")
	}
	s.close()
	return g
}

// HandOver is whether ops that are turned away go to another instance.
type HandOver struct {
	On   bool
	Told handover.Told
}

func (r *reader) handover(f *Fleet) HandOver {
	h := HandOver{Told: handover.Told{Told: pass.Told{Spread: spread.Usual(), Connections: 1, Unused: 10 * time.Second}, Hand: spread.UsualHand()}}
	s := r.section("handover")
	h.On = s.given()
	if h.On && !f.On {
		s.wrong("", "", "wants a section [fleet], by which it knows the members")
	}
	h.Told.Spread.Zone = f.Zone
	if host, _, err := net.SplitHostPort(f.Listen); err == nil {
		h.Told.From = host
	}
	t := &h.Told.Hand
	s.number("share", &t.Share, 0, 1)
	s.number("saved", &t.Saved, 1, 1000)
	s.number("full", &t.Full, 0.1, 1000)
	s.number("most-full", &t.Most, 0, 1)
	s.span("fresh", &t.Fresh, 10*time.Millisecond, time.Minute)
	s.count("connections", &h.Told.Connections, 1, 16)
	s.span("unused", &h.Told.Unused, time.Second, time.Hour)
	s.close()
	return h
}

package operator

import (
	"net"
	"time"

	"lanewheel/internal/pass"
	"lanewheel/internal/relay"
	"lanewheel/internal/spread"
)

// Relay is how a process passes ops on.
type Relay struct {
	On   bool
	Told relay.Told
}

func (r *reader) relay(f *Fleet) Relay {
	t := Relay{Told: relay.Told{Told: pass.Told{Spread: spread.Usual(), Asks: 2, Connections: 2, Unused: 30 * time.Second}, Most: 4096, Grace: 500 * time.Millisecond}}
	s := r.section("relay")
	t.On = s.given()
	if t.On && !f.On {
		s.wrong("", "", "wants a section [fleet], by which it knows the members")
	}
	t.Told.Spread.Zone = f.Zone
	if host, _, err := net.SplitHostPort(f.Listen); err == nil {
		t.Told.From = host // so that whoever stands between knows both ends
	}
	way := spread.Informed.String()
	var ways []string
	for w := spread.Informed; w <= spread.Greedy; w++ {
		ways = append(ways, w.String())
	}
	s.word("way", &way, ways...)
	for w := spread.Informed; w <= spread.Greedy; w++ {
		if w.String() == way {
			t.Told.Spread.Way = w
		}
	}
	p := &t.Told.Spread
	s.count("choices", &p.Choices, 1, 64)
	s.span("fades", &p.Fades, 0, time.Minute)
	s.span("believed", &p.Believed, 10*time.Millisecond, time.Hour)
	s.chooser(p)
	s.number("retry-share", &p.Retry, 0, 1)
	s.number("retry-saved", &p.Burst, 0, 1000)
	s.number("asks", &t.Told.Asks, 0, 16)
	s.count("in-hand", &t.Told.Most, 1, 60_000)
	s.count("connections", &t.Told.Connections, 1, 64)
	s.count("subset", &t.Told.Subset, 0, 10_000)
	s.span("unused", &t.Told.Unused, time.Second, time.Hour)
	s.span("grace", &t.Told.Grace, 0, time.Minute)
	s.span("come-back", &t.Told.After, 0, time.Minute)
	s.close()
	return t
}

// chooser reads what holds of whoever chooses among members or services.
func (s *section) chooser(p *spread.Told) {
	s.number("near", &p.Near, 0, 1.6)
	s.number("trickle", &p.Trickle, 0.0001, 1)
	s.number("bad-share", &p.Out, 0, 1)
	s.span("memory", &p.Memory, 100*time.Millisecond, time.Hour)
}

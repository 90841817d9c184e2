package amqp

import (
	"encoding/json"
	"log/slog"
	"net"
	"os"
	"time"

	"lanewheel/internal/intake"
)

// Snapshot is how the intake stands, for whoever watches it.
type Snapshot struct {
	Broker string            `json:"broker"` // empty: none
	Closed string            `json:"closed"` // why nothing is taken
	Level  int               `json:"level"`  // messages in hand that it lets in
	InHand int               `json:"in_hand"`
	Known  int               `json:"known"` // messages remembered
	Queues []QueueSnapshot   `json:"queues"`
	Counts map[string]uint64 `json:"counts"`
}

// QueueSnapshot is how one queue stands.
type QueueSnapshot struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Limit  int    `json:"limit"`
	InHand int    `json:"in_hand"`
}

func (p *Part) snapshot() Snapshot {
	s := Snapshot{Closed: p.desk.Closed(), Level: p.desk.Level(), InHand: len(p.jobs), Known: p.memory.Len(), Counts: map[string]uint64{}}
	if p.session != nil {
		s.Broker = host(p.session.addr)
	}
	for name, n := range p.counts {
		s.Counts[name] = n
	}
	for _, q := range p.told.Queues {
		s.Queues = append(s.Queues, QueueSnapshot{string(q.Name), p.desk.State(q.Name), p.desk.Limit(q.Name), p.desk.InHand(intake.QueueName(q.Name))})
	}
	return s
}

// watch answers each connection to a local socket with one snapshot, one after the other. Danger: who connects and does not read
// would hold up the next, so each has a second.
func (p *Part) watch(path string) {
	_ = os.Remove(path) // one that an earlier life has left
	l, err := net.Listen("unix", path)
	if err != nil {
		slog.Warn("no-watch", "err", err)
		return
	}
	_ = os.Chmod(path, 0o600)
	go func() {
		<-p.closed
		l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(time.Second))
			came := make(chan Snapshot, 1)
			p.Hand(func() { came <- p.snapshot() })
			select {
			case s := <-came:
				_ = json.NewEncoder(c).Encode(s)
			case <-time.After(time.Second):
			}
			c.Close()
		}
	}()
}

// Watch reads a snapshot from the socket of a running instance.
func Watch(path string) (s Snapshot, err error) {
	c, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return s, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	return s, json.NewDecoder(c).Decode(&s)
}

package amqp

import (
	"encoding/json"
	"net"
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

// show answers one who asks.
func (p *Part) show(c net.Conn) {
	came := make(chan Snapshot, 1)
	p.Post(func() { came <- p.snapshot() })
	select {
	case s := <-came:
		_ = json.NewEncoder(c).Encode(s)
	case <-time.After(time.Second):
	}
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

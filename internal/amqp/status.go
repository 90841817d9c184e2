package amqp

import (
	"encoding/json"
	"net"
	"time"

	"lanewheel/internal/amqp/delivery"
)

// Status is how the intake stands, for whoever watches it.
type Status struct {
	Broker      string            `json:"broker"` // empty: none
	PauseReason string            `json:"closed"` // why nothing is taken
	Window      int               `json:"level"`  // messages in hand that it lets in
	InHand      int               `json:"in_hand"`
	Remembered  int               `json:"known"` // messages remembered
	Queues      []QueueStatus     `json:"queues"`
	Counts      map[string]uint64 `json:"counts"`
}

// QueueStatus is how one queue stands.
type QueueStatus struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Limit  int    `json:"limit"`
	InHand int    `json:"in_hand"`
}

func (p *Consumer) status() Status {
	s := Status{PauseReason: p.flow.PauseReason().String(), Window: p.flow.Window(), InHand: len(p.inFlight), Remembered: p.deduplicator.Len(), Counts: map[string]uint64{}}
	if p.session != nil {
		s.Broker = hostPort(p.session.url)
	}
	for name, n := range p.counters {
		s.Counts[name] = n
	}
	for _, q := range p.config.Queues {
		s.Queues = append(s.Queues, QueueStatus{string(q.Name), p.flow.State(q.Name).String(), p.flow.Limit(q.Name), p.flow.InFlight(delivery.QueueName(q.Name))})
	}
	return s
}

// serveStatus answers one who asks.
func (p *Consumer) serveStatus(c net.Conn) {
	statuses := make(chan Status, 1)
	p.Post(func() { statuses <- p.status() })
	select {
	case s := <-statuses:
		_ = json.NewEncoder(c).Encode(s)
	case <-time.After(time.Second):
	}
}

// ReadStatus reads a snapshot from the socket of a running instance.
func ReadStatus(path string) (s Status, err error) {
	c, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return s, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	return s, json.NewDecoder(c).Decode(&s)
}

package amqp

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

const (
	// statusTimeout bounds how long the event loop may take to give the status, and a client to connect.
	statusTimeout = time.Second
	// statusReadTimeout bounds how long a client waits for the status.
	statusReadTimeout = 2 * time.Second
)

// Status is the state of the consumer as the status socket shows it.
type Status struct {
	Broker      string            `json:"broker"` // empty: none is connected
	PauseReason string            `json:"closed"` // why nothing is taken; empty: something is
	Window      int               `json:"level"`  // messages that may be in flight
	InFlight    int               `json:"in_hand"`
	Remembered  int               `json:"known"` // messages, in flight and settled
	Queues      []QueueStatus     `json:"queues"`
	Counts      map[string]uint64 `json:"counts"` // by outcome and event
}

// QueueStatus is the state of one queue.
type QueueStatus struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Limit    int    `json:"limit"` // messages that may be in flight
	InFlight int    `json:"in_hand"`
}

func (c *Consumer) status() Status {
	status := Status{
		PauseReason: c.flow.PauseReason().String(),
		Window:      c.flow.Window(),
		InFlight:    len(c.inFlight),
		Remembered:  c.deduplicator.Len(),
		Counts:      c.counters.byName(),
	}
	if c.session != nil {
		status.Broker = hostPort(c.session.url)
	}
	for _, queue := range c.config.Queues {
		status.Queues = append(status.Queues, QueueStatus{
			Name:     string(queue.Name),
			State:    c.flow.State(queue.Name).String(),
			Limit:    c.flow.Limit(queue.Name),
			InFlight: c.flow.InFlight(queue.Name),
		})
	}
	return status
}

// serveStatus answers one client of the status socket, on a goroutine of that.
func (c *Consumer) serveStatus(conn net.Conn) {
	statuses := make(chan Status, 1)
	c.Post(func() { statuses <- c.status() })
	select {
	case status := <-statuses:
		_ = json.NewEncoder(conn).Encode(status) // a client that is gone misses nothing
	case <-time.After(statusTimeout): // the consumer has ended
	}
}

// ReadStatus reads the status from the socket of a running instance.
func ReadStatus(path string) (Status, error) {
	var status Status
	dialer := net.Dialer{Timeout: statusTimeout}
	conn, err := dialer.DialContext(context.Background(), "unix", path)
	if err != nil {
		return status, err
	}
	defer func() { _ = conn.Close() }() // all that is wanted was read
	if err := conn.SetDeadline(time.Now().Add(statusReadTimeout)); err != nil {
		return status, err
	}
	if err := json.NewDecoder(conn).Decode(&status); err != nil {
		return status, fmt.Errorf("status from %s: %w", path, err)
	}
	return status, nil
}

package amqp

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

const (
	// statusTimeout limits how long the event loop may take to report the status, and how long a client may take to
	// connect.
	statusTimeout = time.Second
	// statusReadTimeout limits how long a client waits for the status after it has connected.
	statusReadTimeout = 2 * time.Second
)

// Status is the state of the consumer as served on the status socket.
type Status struct {
	Broker      string            `json:"broker"` // host and port; empty: not connected
	PauseReason string            `json:"closed"` // why no queue is consumed; empty: consuming is not paused
	Window      int               `json:"level"`  // messages that may be in flight
	InFlight    int               `json:"in_hand"`
	Remembered  int               `json:"known"` // remembered messages, in flight and settled
	Queues      []QueueStatus     `json:"queues"`
	Counts      map[string]uint64 `json:"counts"` // by the name of the outcome or event
}

// QueueStatus is the state of one queue.
type QueueStatus struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Limit    int    `json:"limit"` // messages that may be in flight
	InFlight int    `json:"in_hand"`
}

// status returns the state of the consumer.
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

// serveStatus sends the status to one client of the status socket. It runs on a goroutine of the socket.
func (c *Consumer) serveStatus(conn net.Conn) {
	statuses := make(chan Status, 1)
	c.Post(func() { statuses <- c.status() })
	select {
	case status := <-statuses:
		_ = json.NewEncoder(conn).Encode(status) // an error means that the client has closed the connection
	case <-time.After(statusTimeout): // the consumer has ended
	}
}

// ReadStatus reads the status from the socket of a running instance. path is the path of the socket.
func ReadStatus(path string) (Status, error) {
	var status Status
	dialer := net.Dialer{Timeout: statusTimeout}
	conn, err := dialer.DialContext(context.Background(), "unix", path)
	if err != nil {
		return status, err
	}
	defer func() { _ = conn.Close() }() // an error does not matter after the status has been read
	if err := conn.SetDeadline(time.Now().Add(statusReadTimeout)); err != nil {
		return status, err
	}
	if err := json.NewDecoder(conn).Decode(&status); err != nil {
		return status, fmt.Errorf("read status from %s: %w", path, err)
	}
	return status, nil
}

// Package client is how coordinators are spoken to: the handshake by which both sides prove that they have the
// cluster's key, requests and responses as lines of JSON, and a client that finds the leader.
package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lanewheel/internal/membership"
)

// ErrNoCoordinators is that a client has no address to ask.
var ErrNoCoordinators = errors.New("no coordinator address is configured")

const (
	dialTimeout     = time.Second
	maxRetryBackoff = 200 * time.Millisecond
)

// Client asks the coordinators, whichever leads. It holds no connection and may be used from any goroutine.
type Client struct {
	Coordinators []string // addresses
	Keys         []membership.Key
	LocalIP      string        // address to dial from, empty for any
	Timeout      time.Duration // no attempt begins later
}

// Do asks one coordinator after the other until one that may answer does; it blocks. A request that changes something
// must have an idempotency key, since it may be carried out without an answer and asked again. The error is
// ErrNoQuorum, ErrNoCoordinators, ErrUnauthenticated or that of the last connection; what the coordinator refused is
// in the response.
func (c Client) Do(request Request) (Response, error) {
	deadline := time.Now().Add(c.Timeout)
	lastErr := ErrNoCoordinators
	redirect := ""
	for attempt := 0; time.Now().Before(deadline) && len(c.Coordinators) > 0; attempt++ {
		addr := c.Coordinators[attempt%len(c.Coordinators)]
		if redirect != "" {
			addr = redirect
			redirect = ""
		}
		response, err := c.roundTrip(addr, request)
		switch {
		case errors.Is(err, ErrUnauthenticated): // the other coordinators have the same keys
			return response, fmt.Errorf("%s: %w", addr, err)
		case err != nil:
			lastErr = fmt.Errorf("%s: %w", addr, err)
		case response.Leader != "" && response.Leader != addr:
			redirect = response.Leader
			lastErr = fmt.Errorf("%s: the leader is %s", addr, response.Leader)
		case errors.Is(response.Err(), ErrNoQuorum):
			lastErr = fmt.Errorf("%s: %w", addr, ErrNoQuorum)
		default:
			return response, nil
		}
		time.Sleep(retryBackoff(attempt))
	}
	return Response{}, lastErr
}

// retryBackoff is the pause after an attempt, counted from 0.
func retryBackoff(attempt int) time.Duration {
	return min(maxRetryBackoff, time.Duration(attempt)*50*time.Millisecond)
}

func (c Client) roundTrip(addr string, request Request) (Response, error) {
	dialer := Dialer{Keys: c.Keys, LocalIP: c.LocalIP, Timeout: dialTimeout}
	conn, err := dialer.Dial(addr, ClientConnection)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = conn.Close() }() // the response is read whole or not at all
	if err := conn.SetDeadline(time.Now().Add(RequestTimeout)); err != nil {
		return Response{}, err
	}
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return Response{}, err
	}
	var response Response
	err = json.NewDecoder(conn).Decode(&response)
	return response, err
}

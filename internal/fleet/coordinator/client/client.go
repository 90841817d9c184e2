// Package client implements the protocol of the coordinators: a handshake by which both sides prove that they have the
// cluster's key, requests and responses as lines of JSON, and a client that finds the leader.
package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lanewheel/internal/membership"
)

// ErrNoCoordinators is returned if a client has no coordinator address.
var ErrNoCoordinators = errors.New("no coordinator address is configured")

const (
	dialTimeout     = time.Second
	maxRetryBackoff = 200 * time.Millisecond
)

// Client sends requests to the coordinators and follows redirects to the leader. It opens a connection for each attempt
// and may be used from any goroutine.
type Client struct {
	Coordinators []string // addresses
	Keys         []membership.Key
	LocalIP      string        // address to dial from, empty for any
	Timeout      time.Duration // time after the start of Do within which attempts may start
}

// Do sends the request to one coordinator after the other until one of them handles it. It blocks. A request that
// changes the state must have an idempotency key, because a request that was executed is repeated if its response was
// lost. The error is or wraps ErrNoQuorum, ErrNoCoordinators, ErrUnauthenticated or the error of the last attempt.
// If the coordinator refused the request, the error is nil and the response contains the reason.
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
			lastErr = fmt.Errorf("%s: redirected to the leader at %s", addr, response.Leader)
		case errors.Is(response.Err(), ErrNoQuorum):
			lastErr = fmt.Errorf("%s: %w", addr, ErrNoQuorum)
		default:
			return response, nil
		}
		time.Sleep(retryBackoff(attempt))
	}
	return Response{}, lastErr
}

// retryBackoff returns the delay after an attempt, numbered from 0.
func retryBackoff(attempt int) time.Duration {
	return min(maxRetryBackoff, time.Duration(attempt)*50*time.Millisecond)
}

// roundTrip sends one request over a new connection to addr and returns the response.
func (c Client) roundTrip(addr string, request Request) (Response, error) {
	dialer := Dialer{Keys: c.Keys, LocalIP: c.LocalIP, Timeout: dialTimeout}
	conn, err := dialer.Dial(addr, ClientConnection)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = conn.Close() }() // the response is already decoded, or an error is returned
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

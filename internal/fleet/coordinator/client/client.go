// Package client is how stewards are spoken to: the proof that both sides have the cluster's key, questions and answers as lines of JSON, and a client that
// finds the one that leads.
package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lanewheel/internal/membership"
)

// ErrNoQuorum is that there is nobody to agree with.
var ErrNoQuorum = errors.New("no majority of stewards")

// Client asks stewards, whichever leads.
type Client struct {
	Coordinators []string
	Keys         []membership.Key
	LocalIP      string
	Timeout      time.Duration // until it gives up
}

// Do asks until one that may answer does. A question that changes something has a key, so that it may be asked twice.
func (k Client) Do(request Request) (Response, error) {
	deadline := time.Now().Add(k.Timeout)
	lastErr := errors.New("no steward is told")
	redirect := ""
	for attempt := 0; time.Now().Before(deadline) && len(k.Coordinators) > 0; attempt++ {
		addr := k.Coordinators[attempt%len(k.Coordinators)]
		if redirect != "" {
			addr, redirect = redirect, ""
		}
		response, err := k.roundTrip(addr, request)
		switch {
		case err != nil:
			lastErr = fmt.Errorf("%s: %w", addr, err)
			if errors.Is(err, ErrUnauthenticated) {
				return response, lastErr
			}
		case response.Leader != "" && response.Leader != addr:
			redirect = response.Leader
			lastErr = fmt.Errorf("%s says that %s leads", addr, response.Leader)
		case response.Error != "" && response.Error == ErrNoQuorum.Error():
			lastErr = fmt.Errorf("%s: %w", addr, ErrNoQuorum)
		default:
			return response, nil
		}
		time.Sleep(min(200*time.Millisecond, time.Duration(attempt)*50*time.Millisecond))
	}
	return Response{}, lastErr
}

func (k Client) roundTrip(addr string, request Request) (response Response, err error) {
	conn, err := Dial(addr, k.LocalIP, k.Keys, ClientConnection, time.Second)
	if err != nil {
		return response, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(RequestTimeout))
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return response, err
	}
	return response, json.NewDecoder(conn).Decode(&response)
}

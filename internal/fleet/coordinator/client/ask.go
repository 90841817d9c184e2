// Package client is how stewards are spoken to: the proof that both sides have the cluster's key, questions and answers as lines of JSON, and a client that
// finds the one that leads.
package client

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/membership"
)

// Stewards and operators speak on one listener. Whoever connects proves that he has the cluster's key before anything else is read, and says what he
// wants: a steward's stream, or one question as a line of JSON.

// Kinds of connection, the first byte of the proof.
const (
	PeerConnection   byte = 'r'
	ClientConnection byte = 'o'
)

// ErrNoQuorum is that there is nobody to agree with.
var ErrNoQuorum = errors.New("no majority of stewards")

const (
	handshakeTimeout = 2 * time.Second  // some round trips of a poor link
	RequestTimeout   = 15 * time.Second // a question takes
	MaxRequestBytes  = 1 << 20          // bytes of a question: budgets and plans of thousands of lines
)

// ErrUnauthenticated is that the other side is none of ours.
var ErrUnauthenticated = errors.New("who connects does not have the cluster's key")

// handshakeMAC is the proof of one side over both sides' numbers. An empty key proves nothing, and there are none without.
func handshakeMAC(key membership.Key, side byte, nonces []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{side})
	mac.Write(nonces)
	return mac.Sum(nil)
}

// clientHandshake is the proof of who dials: both draw a number, both prove that they know the key. Danger: a stranger that listens where a steward was.
func clientHandshake(conn net.Conn, keys []membership.Key, connectionKind byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var ownNonce, peerNonce [16]byte
	if _, err := rand.Read(ownNonce[:]); err != nil {
		return err
	}
	if _, err := conn.Write(ownNonce[:]); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, peerNonce[:]); err != nil {
		return err
	}
	transcript := append(append(peerNonce[:], ownNonce[:]...), connectionKind)
	if _, err := conn.Write(append([]byte{connectionKind}, handshakeMAC(keys[0], 'd', transcript)...)); err != nil {
		return err
	}
	peerMAC := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerMAC); err != nil {
		return ErrUnauthenticated
	}
	for _, key := range keys {
		if hmac.Equal(peerMAC, handshakeMAC(key, 'l', transcript)) {
			return conn.SetDeadline(time.Time{})
		}
	}
	return ErrUnauthenticated
}

// ServerHandshake is the other side: it gives what the one who connected wants.
func ServerHandshake(conn net.Conn, keys []membership.Key) (kind byte, err error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var ownNonce, peerNonce [16]byte
	if _, err := rand.Read(ownNonce[:]); err != nil {
		return 0, err
	}
	if _, err := io.ReadFull(conn, peerNonce[:]); err != nil {
		return 0, err
	}
	if _, err := conn.Write(ownNonce[:]); err != nil {
		return 0, err
	}
	proof := make([]byte, 1+sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return 0, err
	}
	transcript := append(append(ownNonce[:], peerNonce[:]...), proof[0])
	for _, key := range keys {
		if hmac.Equal(proof[1:], handshakeMAC(key, 'd', transcript)) {
			if _, err := conn.Write(handshakeMAC(key, 'l', transcript)); err != nil {
				return 0, err
			}
			return proof[0], conn.SetDeadline(time.Time{})
		}
	}
	return 0, ErrUnauthenticated
}

// Dial connects, proves the key and has it proven.
func Dial(addr, localIP string, keys []membership.Key, kind byte, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if localIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := clientHandshake(conn, keys, kind); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// Request is what an operator, or a steward that wants to join, asks. One of its fields is set.
type Request struct {
	Command           *coordination.Command `json:"Command,omitempty"`
	Status            bool                  `json:"Status,omitempty"`
	History           bool                  `json:"History,omitempty"`
	Join              *JoinRequest          `json:"Join,omitempty"`
	RemoveCoordinator string                `json:"Leave,omitempty"`
}

// JoinRequest is a steward that wants to be one of those that agree.
type JoinRequest struct {
	ID   string `json:"ID"`
	Addr string `json:"At"`
}

// Response is what comes back. Leader, where it is set, is whom to ask instead.
type Response struct {
	Error        string                      `json:"Error,omitempty"`
	Leader       string                      `json:"Leader,omitempty"`
	Reply        *coordination.Reply         `json:"Reply,omitempty"`
	Status       *Status                     `json:"Status,omitempty"`
	History      []coordination.HistoryEntry `json:"History,omitempty"`
	EndedPermits []coordination.Permit       `json:"Over,omitempty"`
}

// Status is what is agreed, for whoever looks.
type Status struct {
	ID           string                     `json:"steward"`
	Leader       string                     `json:"leader"`
	IsLeader     bool                       `json:"leads"`
	Term         uint64                     `json:"term"`
	AppliedIndex uint64                     `json:"index"` // of the log
	Coordinators map[string]string          `json:"stewards"`
	FleetTime    string                     `json:"now"`
	Halt         *coordination.Halt         `json:"halted,omitempty"`
	Rollout      *coordination.Rollout      `json:"release,omitempty"`
	Budgets      []coordination.BudgetUsage `json:"budgets"`
	Permits      []coordination.Permit      `json:"permits"`
	Unavailable  []coordination.Member      `json:"out"`
	MemberCount  int                        `json:"members"`
}

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

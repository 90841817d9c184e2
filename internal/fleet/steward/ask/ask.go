// Package ask is how stewards are spoken to: the proof that both sides have the cluster's key, questions and answers as lines of JSON, and a client that
// finds the one that leads.
package ask

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

	"lanewheel/internal/accord"
	"lanewheel/internal/members"
)

// Stewards and operators speak on one listener. Whoever connects proves that he has the cluster's key before anything else is read, and says what he
// wants: a steward's stream, or one question as a line of JSON.

// Kinds of connection, the first byte of the proof.
const (
	AsSteward  byte = 'r'
	AsOperator byte = 'o'
)

// ErrNobody is that there is nobody to agree with.
var ErrNobody = errors.New("no majority of stewards")

const (
	proofFor = 2 * time.Second  // some round trips of a poor link
	For      = 15 * time.Second // a question takes
	Longest  = 1 << 20          // bytes of a question: budgets and plans of thousands of lines
)

// ErrProof is that the other side is none of ours.
var ErrProof = errors.New("who connects does not have the cluster's key")

// prove is the proof of one side over both sides' numbers. An empty key proves nothing, and there are none without.
func prove(key members.Key, side byte, nonces []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{side})
	h.Write(nonces)
	return h.Sum(nil)
}

// greet is the proof of who dials: both draw a number, both prove that they know the key. Danger: a stranger that listens where a steward was.
func greet(c net.Conn, keys []members.Key, kind byte) error {
	_ = c.SetDeadline(time.Now().Add(proofFor))
	var own, theirs [16]byte
	if _, err := rand.Read(own[:]); err != nil {
		return err
	}
	if _, err := c.Write(own[:]); err != nil {
		return err
	}
	if _, err := io.ReadFull(c, theirs[:]); err != nil {
		return err
	}
	both := append(append(theirs[:], own[:]...), kind)
	if _, err := c.Write(append([]byte{kind}, prove(keys[0], 'd', both)...)); err != nil {
		return err
	}
	back := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, back); err != nil {
		return ErrProof
	}
	for _, k := range keys {
		if hmac.Equal(back, prove(k, 'l', both)) {
			return c.SetDeadline(time.Time{})
		}
	}
	return ErrProof
}

// Greeted is the other side: it gives what the one who connected wants.
func Greeted(c net.Conn, keys []members.Key) (kind byte, err error) {
	_ = c.SetDeadline(time.Now().Add(proofFor))
	var own, theirs [16]byte
	if _, err := rand.Read(own[:]); err != nil {
		return 0, err
	}
	if _, err := io.ReadFull(c, theirs[:]); err != nil {
		return 0, err
	}
	if _, err := c.Write(own[:]); err != nil {
		return 0, err
	}
	said := make([]byte, 1+sha256.Size)
	if _, err := io.ReadFull(c, said); err != nil {
		return 0, err
	}
	both := append(append(own[:], theirs[:]...), said[0])
	for _, k := range keys {
		if hmac.Equal(said[1:], prove(k, 'd', both)) {
			if _, err := c.Write(prove(k, 'l', both)); err != nil {
				return 0, err
			}
			return said[0], c.SetDeadline(time.Time{})
		}
	}
	return 0, ErrProof
}

// Dial connects, proves the key and has it proven.
func Dial(at, from string, keys []members.Key, kind byte, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	c, err := d.Dial("tcp", at)
	if err != nil {
		return nil, err
	}
	if err := greet(c, keys, kind); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Question is what an operator, or a steward that wants to join, asks. One of its fields is set.
type Question struct {
	Command *accord.Command `json:"Command,omitempty"`
	Status  bool            `json:"Status,omitempty"`
	History bool            `json:"History,omitempty"`
	Join    *Joining        `json:"Join,omitempty"`
	Leave   string          `json:"Leave,omitempty"`
}

// Joining is a steward that wants to be one of those that agree.
type Joining struct {
	ID string `json:"ID"`
	At string `json:"At"`
}

// Answer is what comes back. Leader, where it is set, is whom to ask instead.
type Answer struct {
	Error   string                `json:"Error,omitempty"`
	Leader  string                `json:"Leader,omitempty"`
	Reply   *accord.Reply         `json:"Reply,omitempty"`
	Status  *Status               `json:"Status,omitempty"`
	History []accord.HistoryEntry `json:"History,omitempty"`
	Over    []accord.Permit       `json:"Over,omitempty"`
}

// Status is what is agreed, for whoever looks.
type Status struct {
	Steward string               `json:"steward"`
	Leader  string               `json:"leader"`
	Leads   bool                 `json:"leads"`
	Term    uint64               `json:"term"`
	Index   uint64               `json:"index"` // of the log
	Others  map[string]string    `json:"stewards"`
	Now     string               `json:"now"`
	Halted  *accord.Halt         `json:"halted,omitempty"`
	Release *accord.Rollout      `json:"release,omitempty"`
	Uses    []accord.BudgetUsage `json:"budgets"`
	Permits []accord.Permit      `json:"permits"`
	Out     []accord.Member      `json:"out"`
	Members int                  `json:"members"`
}

// Client asks stewards, whichever leads.
type Client struct {
	Stewards []string
	Keys     []members.Key
	From     string
	Limit    time.Duration // until it gives up
}

// Ask asks until one that may answer does. A question that changes something has a key, so that it may be asked twice.
func (k Client) Ask(q Question) (Answer, error) {
	until := time.Now().Add(k.Limit)
	last := errors.New("no steward is told")
	next := ""
	for n := 0; time.Now().Before(until) && len(k.Stewards) > 0; n++ {
		at := k.Stewards[n%len(k.Stewards)]
		if next != "" {
			at, next = next, ""
		}
		a, err := k.once(at, q)
		switch {
		case err != nil:
			last = fmt.Errorf("%s: %w", at, err)
			if errors.Is(err, ErrProof) {
				return a, last
			}
		case a.Leader != "" && a.Leader != at:
			next = a.Leader
			last = fmt.Errorf("%s says that %s leads", at, a.Leader)
		case a.Error != "" && a.Error == ErrNobody.Error():
			last = fmt.Errorf("%s: %w", at, ErrNobody)
		default:
			return a, nil
		}
		time.Sleep(min(200*time.Millisecond, time.Duration(n)*50*time.Millisecond))
	}
	return Answer{}, last
}

func (k Client) once(at string, q Question) (a Answer, err error) {
	c, err := Dial(at, k.From, k.Keys, AsOperator, time.Second)
	if err != nil {
		return a, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(For))
	if err := json.NewEncoder(c).Encode(q); err != nil {
		return a, err
	}
	return a, json.NewDecoder(c).Decode(&a)
}

package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lanewheel/internal/fake"
)

// Wait is how long a stub waits for an answer.
const Wait = 4 * time.Second

// answerSlack is how much later than Wait an answer still counts: the slack of 100 ms in the settings and 50 ms more on
// sockets.
const answerSlack = 150 * time.Millisecond

// Outcomes of a request at a stub, beside the error codes of answers.
const (
	Served     = "served"
	LostLink   = "connection lost"
	Unanswered = "no answer in time"
)

// Answer is the outcome of a request at a stub.
type Answer struct {
	Outcome string // Served, the code of an error, LostLink or Unanswered
	Result  string
}

// Stub is a client stub with one connection. It sends at most 32 requests at a time.
type Stub struct {
	client *fake.Client

	mu      sync.Mutex
	number  int
	pending map[int]chan Answer
	lost    bool
}

// Connect opens the connection of a stub.
func Connect(addr string) *Stub {
	s := &Stub{client: fake.Dial(addr), pending: map[int]chan Answer{}}
	go s.read()
	return s
}

// Lost reports whether the connection has ended.
func (s *Stub) Lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Close closes the connection.
func (s *Stub) Close() { s.client.Close() }

func (s *Stub) read() {
	for {
		response, err := s.client.NextResponse()
		s.mu.Lock()
		if err != nil {
			s.lost = true
			for _, answer := range s.pending {
				answer <- Answer{Outcome: LostLink}
			}
			clear(s.pending)
			s.mu.Unlock()
			s.client.Close()
			return
		}
		if answer := s.pending[response.Number]; answer != nil {
			delete(s.pending, response.Number)
			outcome := Served
			if response.Error != "" {
				outcome = response.Error
			}
			answer <- Answer{Outcome: outcome, Result: string(response.Result)}
		}
		s.mu.Unlock()
	}
}

// NewID returns a new request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Request sends one request and waits for its answer. extra holds names and values of further fields.
func (s *Stub) Request(class, id, body string, extra ...string) Answer {
	answer := make(chan Answer, 1)
	s.mu.Lock()
	if s.lost || len(s.pending) >= 32 {
		s.mu.Unlock()
		return Answer{Outcome: LostLink}
	}
	s.number++
	number := s.number
	s.pending[number] = answer
	fields := append([]string{"wait", fmt.Sprint(Wait.Milliseconds()), "cost", "60"}, extra...)
	s.client.Send(fake.NewRequest(number, class, id, []byte(body), fields...))
	s.mu.Unlock()
	select {
	case a := <-answer:
		return a
	case <-time.After(Wait + answerSlack):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, number)
	if !s.lost {
		s.client.Send([]any{2, "interrupt", []any{number}})
	}
	return Answer{Outcome: Unanswered}
}

// Health sends a deep health check on a connection of its own and reports whether the instance is healthy.
func Health(addr string) bool {
	client := fake.Dial(addr)
	defer client.Close()
	return client.CheckHealth()
}

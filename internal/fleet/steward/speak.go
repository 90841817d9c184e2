package steward

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"lanewheel/internal/fleet/steward/ask"
)

// streams is raft.StreamLayer over the shared listener.
type streams struct {
	s     *Steward
	l     net.Listener
	came  chan net.Conn
	over  chan struct{}
	open  chan struct{} // closed once there is a state to answer from
	close sync.Once
	busy  chan struct{} // one for each connection that is being greeted or asked
}

func newStreams(s *Steward, l net.Listener) *streams {
	const atOnce = 64 // operators, and strangers that say nothing
	x := &streams{s: s, l: l, came: make(chan net.Conn), over: make(chan struct{}), open: make(chan struct{}), busy: make(chan struct{}, atOnce)}
	go x.accept()
	return x
}

func (x *streams) accept() {
	for {
		c, err := x.l.Accept()
		if err != nil {
			return
		}
		select {
		case x.busy <- struct{}{}:
		default: // Danger: connections by the hundred on which nobody proves anything
			c.Close()
			continue
		}
		go func() {
			defer func() { <-x.busy }()
			kind, err := ask.Greeted(c, x.s.keys())
			switch {
			case err != nil:
				x.s.strangers.Add(1)
			case kind == ask.AsSteward:
				select {
				case x.came <- c:
					return
				case <-x.over:
				}
			case kind == ask.AsOperator:
				// Danger: who asks while the folder is still being read.
				select {
				case <-x.open:
					x.s.answer(c)
				case <-x.over:
				}
			}
			c.Close()
		}()
	}
}

// Accept is net.Listener.
func (x *streams) Accept() (net.Conn, error) {
	select {
	case c := <-x.came:
		return c, nil
	case <-x.over:
		return nil, net.ErrClosed
	}
}

// Close is net.Listener.
func (x *streams) Close() error {
	x.close.Do(func() { close(x.over) })
	return x.l.Close()
}

// Addr is net.Listener: where the others dial us.
func (x *streams) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", x.s.told.At)
	return a
}

// Dial is raft.StreamLayer.
func (x *streams) Dial(at raft.ServerAddress, limit time.Duration) (net.Conn, error) {
	return ask.Dial(string(at), x.s.told.From, x.s.keys(), ask.AsSteward, limit)
}

// answer answers one question.
func (s *Steward) answer(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(ask.For))
	var q ask.Question
	a := ask.Answer{}
	if err := json.NewDecoder(bufio.NewReader(io.LimitReader(c, ask.Longest))).Decode(&q); err != nil {
		a.Error = "can't be read: " + err.Error()
	} else {
		a = s.asked(q)
	}
	_ = json.NewEncoder(c).Encode(a)
}

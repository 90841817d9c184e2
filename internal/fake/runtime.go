package fake

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"
)

// Field names of the runtime's messages. The fake does not use the names that the codec under test defines, so that a
// wrong name in the codec is detected.
const (
	fieldKind      = "t"
	fieldSequence  = "no"
	fieldRequestID = "rid"
	fieldClass     = "route"
	fieldMark      = "mark"
	fieldBody      = "b64"
)

// maxWaitingMessages is the capacity of Runtime.Messages.
const maxWaitingMessages = 100

// Runtime is a fake runtime. In scripted mode the test receives the instance's messages and sends the notices. After
// AutoRun, the runtime executes runs by itself. Only one goroutine at a time may use it, apart from the one that
// AutoRun starts.
type Runtime struct {
	Listener   net.Listener
	Conn       net.Conn             // the link that was accepted last
	Messages   chan map[string]any  // from Conn, except requests for gauges, which are answered; closed when Conn ends
	Silent     bool                 // requests for gauges are not answered on links that are accepted while Silent is set
	LastNotice int                  // number of the last notice sent
	Faults     func() RuntimeFaults // after AutoRun, called at the start of each run for its faults; nil: no faults
}

// RuntimeFaults describes the faults of the runs that a runtime executes after AutoRun.
type RuntimeFaults struct {
	SlowFactor float64 // factor by which the duration of runs is multiplied; 0 leaves it unchanged
	FailRuns   bool    // runs fail immediately
	LoseRuns   bool    // runs never end and cannot be stopped
}

// NewRuntime returns a runtime that listens on a free port of the loopback address.
func NewRuntime() *Runtime { return &Runtime{Listener: listen()} }

// Addr returns the address that accepts links.
func (r *Runtime) Addr() string { return r.Listener.Addr().String() }

// Accept waits for the next link and returns the sequence number of its synchronization message.
func (r *Runtime) Accept() any {
	_ = r.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(WaitTimeout)) // if this fails, Accept fails too
	r.readMessages(Must(r.Listener.Accept()))
	return r.NextMessage()[fieldSequence]
}

// TryAccept accepts the next link without a time limit and waits for its synchronization message. It reports whether a
// link was accepted, which is not possible once the listener is closed.
func (r *Runtime) TryAccept() bool {
	conn, err := r.Listener.Accept()
	if err != nil {
		return false
	}
	r.readMessages(conn)
	<-r.Messages // the synchronization message
	return true
}

// readMessages makes conn the current link and starts to read its messages. An incomplete last line is dropped because
// its sender was killed while it wrote.
func (r *Runtime) readMessages(conn net.Conn) {
	messages := make(chan map[string]any, maxWaitingMessages)
	r.Conn = conn
	r.Messages = messages
	silent := r.Silent
	go func() {
		defer close(messages)
		for reader := bufio.NewReader(conn); ; {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				return
			}
			var message map[string]any
			if err := json.Unmarshal(line, &message); err != nil {
				panic(err)
			}
			if message[fieldKind] != "gauges" {
				messages <- message
			} else if !silent {
				writeLine(conn, `{"t":"load","mark":%q,"v":[0.1,0]}`, message[fieldMark])
			}
		}
	}()
}

// writeLine writes a line. A write error is ignored because the reader of the link reports the end of the link.
func writeLine(conn net.Conn, format string, args ...any) {
	_, _ = fmt.Fprintf(conn, format+"\n", args...)
}

// SendReady sends the message that the runtime is ready, with the given state.
func (r *Runtime) SendReady(state string) {
	writeLine(r.Conn, `{"t":"ready","status":%q,"time_ms":10}`, state)
}

// NextMessage waits for the next message and returns it, or nil if the link was closed. It panics if no message arrives
// within WaitTimeout.
func (r *Runtime) NextMessage() map[string]any {
	select {
	case message := <-r.Messages:
		return message
	case <-time.After(WaitTimeout):
		panic("no message arrived from the instance")
	}
}

// NextCommand waits for the next message and returns it as text, or "link closed" if the link was closed.
func (r *Runtime) NextCommand() string {
	message := r.NextMessage()
	if message == nil {
		return "link closed"
	}
	text := fmt.Sprint(message[fieldKind], " ", strings.TrimLeft(fmt.Sprint(message[fieldRequestID]), "0"))
	if class := message[fieldClass]; class != nil {
		text += fmt.Sprint(" route ", class)
	}
	if sequence := message[fieldSequence]; sequence != nil {
		text += fmt.Sprint(" no ", sequence)
	}
	if body, hasBody := message[fieldBody].(string); hasBody {
		text += fmt.Sprintf(" body %q", Must(base64.StdEncoding.DecodeString(body)))
	}
	return text
}

// SendNotice sends a notice about a run, with the next number.
func (r *Runtime) SendNotice(kind, requestID, status, body string) {
	r.LastNotice++
	writeLine(r.Conn, `{"t":%q,"no":%d,"rid":%q,"status":%q,"time_ms":20,"b64":%q}`,
		kind, r.LastNotice, requestID, status, base64.StdEncoding.EncodeToString([]byte(body)))
}

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

// The fields of the runtime's messages. The fake has its own names of them, so that it does not follow a mistake of the
// codec.
const (
	fieldKind      = "t"
	fieldSequence  = "no"
	fieldRequestID = "rid"
	fieldClass     = "route"
	fieldMark      = "mark"
	fieldBody      = "b64"
)

// maxWaitingMessages is how many messages may wait to be looked at.
const maxWaitingMessages = 100

// Runtime carries out runs: by script, or after AutoRun by itself. One goroutine at a time may use it, beside the one
// that AutoRun starts.
type Runtime struct {
	Listener   net.Listener
	Conn       net.Conn             // the link that was accepted last
	Messages   chan map[string]any  // all that came on it but requests for gauges, which are answered; closed at its end
	Silent     bool                 // links that are accepted from now on have no requests for gauges answered
	LastNotice int                  // the number of the last notice
	Faults     func() RuntimeFaults // the faults that AutoRun shows now; nil: none
}

// RuntimeFaults are the faults of a runtime that works by itself.
type RuntimeFaults struct {
	SlowFactor float64 // runs take so many times as long; 0: as long as without faults
	FailRuns   bool    // runs fail at once
	LoseRuns   bool    // runs never end, and can't be stopped
}

// NewRuntime makes a runtime on a free port.
func NewRuntime() *Runtime { return &Runtime{Listener: listen()} }

// Addr is where links go to.
func (r *Runtime) Addr() string { return r.Listener.Addr().String() }

// Accept waits for the next link and gives the number that it is synchronized with.
func (r *Runtime) Accept() any {
	_ = r.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(WaitTimeout)) // if it failed, so does Accept
	r.readMessages(Must(r.Listener.Accept()))
	return r.NextMessage()[fieldSequence]
}

// TryAccept takes the next link, whenever it comes, and has it synchronized; false: nothing listens any more.
func (r *Runtime) TryAccept() bool {
	conn, err := r.Listener.Accept()
	if err != nil {
		return false
	}
	r.readMessages(conn)
	<-r.Messages // the number that it is synchronized with
	return true
}

// readMessages has the messages of a link come, instead of those of the last one. A line that is cut off is none, as
// its sender was killed.
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

// writeLine writes a line. One that the peer does not take is lost with the link, whose end is told otherwise.
func writeLine(conn net.Conn, format string, args ...any) {
	_, _ = fmt.Fprintf(conn, format+"\n", args...)
}

// SendReady says that the runtime is up, in this state.
func (r *Runtime) SendReady(state string) {
	writeLine(r.Conn, `{"t":"ready","status":%q,"time_ms":10}`, state)
}

// NextMessage waits for the next message; nil: the link was closed.
func (r *Runtime) NextMessage() map[string]any {
	select {
	case message := <-r.Messages:
		return message
	case <-time.After(WaitTimeout):
		panic("no message from the instance")
	}
}

// NextCommand waits for the next message, and gives it as a script prints it.
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

// SendNotice sends a numbered notice of a run.
func (r *Runtime) SendNotice(kind, requestID, status, body string) {
	r.LastNotice++
	writeLine(r.Conn, `{"t":%q,"no":%d,"rid":%q,"status":%q,"time_ms":20,"b64":%q}`,
		kind, r.LastNotice, requestID, status, base64.StdEncoding.EncodeToString([]byte(body)))
}

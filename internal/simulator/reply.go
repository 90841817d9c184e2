package simulator

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"lanewheel/admission"
)

// The names of the output lines.
const (
	actionServe      = "serve"
	actionAttach     = "attach"
	actionTakeOff    = "take-off"
	actionEndFailed  = "end-failed"
	actionShed       = "shed"
	actionCall       = "call"
	actionFallBack   = "fall-back"
	actionStoreKey   = "store-key"
	actionUnpin      = "unpin"
	actionMarkHealth = "mark-health"
	actionHintOut    = "hint-out"
	actionIdle       = "idle"
	actionPrint      = "print"
	actionArm        = "arm"
)

// reply collects the lines of one reply.
type reply struct{ buf []byte }

// finish completes the reply, returns its text and starts a new reply. The text is valid until the next action.
func (r *reply) finish() []byte {
	r.buf = append(r.buf, "[\"eor\"]\n"...)
	out := r.buf
	r.buf = r.buf[:0]
	return out
}

// action begins a line. The caller adds the values to the returned action and completes the line with its
// method end.
func (r *reply) action(name string, instance int) action {
	r.buf = append(r.buf, '[')
	r.buf = strconv.AppendQuote(r.buf, name)
	r.buf = append(r.buf, ',')
	r.buf = strconv.AppendInt(r.buf, int64(instance), 10)
	return action{r}
}

// action is an incomplete line of a reply.
type action struct{ reply *reply }

func (a action) end() { a.reply.buf = append(a.reply.buf, ']', '\n') }

func (a action) id(id admission.RequestID) action { return a.text(string(id)) }

func (a action) text(s string) action {
	quoted, _ := json.Marshal(s) // encoding a string never fails
	a.reply.buf = append(append(a.reply.buf, ','), quoted...)
	return a
}

func (a action) flag(b bool) action {
	a.reply.buf = strconv.AppendBool(append(a.reply.buf, ','), b)
	return a
}

func (a action) number(x float64) action {
	a.reply.buf = strconv.AppendFloat(append(a.reply.buf, ','), x, 'f', 6, 64)
	return a
}

// seconds appends a duration in seconds. A negative duration is written as 0.
func (a action) seconds(d time.Duration) action { return a.number(math.Max(0, d.Seconds())) }

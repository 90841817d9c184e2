package simulator

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"lanewheel/admission"
)

// The names of the lines that go out.
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

// reply gathers the lines of one reply.
type reply struct{ buf []byte }

// finish ends the reply and returns its text, which is valid until the next action.
func (r *reply) finish() []byte {
	r.buf = append(r.buf, "[\"eor\"]\n"...)
	out := r.buf
	r.buf = r.buf[:0]
	return out
}

// action begins a line, to which its values are added; end completes it.
func (r *reply) action(name string, instance int) action {
	r.buf = append(r.buf, '[')
	r.buf = strconv.AppendQuote(r.buf, name)
	r.buf = append(r.buf, ',')
	r.buf = strconv.AppendInt(r.buf, int64(instance), 10)
	return action{r}
}

// action is a line that is being written.
type action struct{ reply *reply }

func (a action) end() { a.reply.buf = append(a.reply.buf, ']', '\n') }

func (a action) id(id admission.RequestID) action { return a.text(string(id)) }

func (a action) text(s string) action {
	quoted, _ := json.Marshal(s) // a string always has a JSON form
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

// seconds writes a duration; a negative one is none.
func (a action) seconds(d time.Duration) action { return a.number(math.Max(0, d.Seconds())) }

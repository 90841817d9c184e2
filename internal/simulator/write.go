package simulator

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"lanewheel/admission"
)

// Reply gathers the lines of one reply.
type Reply struct{ buf []byte }

// Finish ends the reply, gives its text and makes room for the next.
func (r *Reply) Finish() []byte {
	out := append(r.buf, "[\"eor\"]\n"...)
	r.buf = r.buf[:0]
	return out
}

// Append adds one line: the name of an action, the instance and the action's values.
func (r *Reply) Append(name string, instance int, values ...any) {
	r.buf = append(r.buf, '[')
	r.buf = strconv.AppendQuote(r.buf, name)
	r.buf = append(r.buf, ',')
	r.buf = strconv.AppendInt(r.buf, int64(instance), 10)
	for _, v := range values {
		r.buf = append(r.buf, ',')
		switch v := v.(type) {
		case admission.RequestID:
			r.appendText(string(v))
		case string:
			r.appendText(v)
		case bool:
			r.buf = strconv.AppendBool(r.buf, v)
		case float64:
			r.buf = strconv.AppendFloat(r.buf, v, 'f', 6, 64)
		case time.Duration:
			r.buf = strconv.AppendFloat(r.buf, math.Max(0, v.Seconds()), 'f', 6, 64)
		}
	}
	r.buf = append(r.buf, ']', '\n')
}

func (r *Reply) appendText(s string) {
	quoted, _ := json.Marshal(s) // a string always has a JSON form
	r.buf = append(r.buf, quoted...)
}

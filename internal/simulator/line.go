// Package simulator hosts many instances of the decisions in one process, on the simulator's wire: events on its input,
// actions on its output, each line a JSON array that starts with a name. It maps the wire's names to those of package
// admission, and decides nothing.
package simulator

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// The names of the lines that come in.
const (
	lineTick          = "tick"           // opens a batch with the clock
	lineFlush         = "flush"          // closes a batch
	lineBoot          = "boot"           // an instance starts
	lineOrder         = "order"          // a request was read
	lineTimer         = "timeout-fired"  // a timer fired
	lineBlocked       = "blocked"        // a run stands at an upstream call
	lineRunEnded      = "ended"          // a run ended
	lineCallDone      = "call-done"      // an upstream call ended
	lineTerminateSoon = "terminate-soon" // an instance is notified to drain
	lineAborted       = "aborted"        // a caller has gone
	linePowerOff      = "power-off"      // an instance is dead
)

// line is one line that was read, its values still in JSON. It is valid until its parser parses the next.
type line struct {
	name   string
	values []*fastjson.Value
}

// lineParser parses lines, one at a time.
type lineParser struct{ json fastjson.Parser }

func (p *lineParser) parse(text []byte) (line, error) {
	if !utf8.Valid(text) {
		return line{}, errors.New("message is not UTF-8")
	}
	if err := fastjson.ValidateBytes(text); err != nil {
		return line{}, fmt.Errorf("malformed JSON: %w", err)
	}
	v, err := p.json.ParseBytes(text)
	if err != nil {
		return line{}, fmt.Errorf("malformed JSON: %w", err)
	}
	values, err := v.Array()
	if err != nil || len(values) == 0 || values[0].Type() != fastjson.TypeString {
		return line{}, errors.New("message is not an array that starts with its name")
	}
	return line{name: string(values[0].GetStringBytes()), values: values[1:]}, nil
}

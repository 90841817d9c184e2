// Package simulator runs the admission controllers of many simulated instances in one process. It reads events
// of the simulator from its input and writes actions to its output. Each line is a JSON array that starts with
// a name. The package translates between the simulator's names and package admission, and makes no decisions
// itself.
package simulator

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// The names of the input lines.
const (
	lineTick          = "tick"           // opens a batch and sets the clock
	lineFlush         = "flush"          // closes a batch
	lineBoot          = "boot"           // an instance starts
	lineOrder         = "order"          // a request was received
	lineTimer         = "timeout-fired"  // a timer fired
	lineBlocked       = "blocked"        // a run has reached an upstream call
	lineRunEnded      = "ended"          // a run ended
	lineCallDone      = "call-done"      // an upstream call ended
	lineTerminateSoon = "terminate-soon" // an instance is notified that it will be killed
	lineAborted       = "aborted"        // the caller of a request no longer waits
	linePowerOff      = "power-off"      // an instance has ended
)

// line is a parsed input line with its values in JSON form. It is valid until its parser parses the next line.
type line struct {
	name   string
	values []*fastjson.Value
}

// lineParser parses input lines, one at a time.
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
		return line{}, errors.New("message is not an array that starts with a name")
	}
	return line{name: string(values[0].GetStringBytes()), values: values[1:]}, nil
}

package main

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/simwire"
)

// host turns messages straight into calls on the instances, and their answers into messages.
type host struct {
	reader    simwire.Parser
	reply     simwire.Reply
	now       time.Duration
	inBatch   bool
	instances map[int]*instance
	touched   []*instance // those with an event in this batch, in order of the first
}

// instance is one life of a service instance, with the closures its steps have left behind.
type instance struct {
	host   *host
	who    int
	desk   *choice.Controller
	met    bool // has had an event in this batch
	atCall map[choice.RequestID]func()
	ended  map[choice.RequestID]func(choice.Outcome, time.Duration)
	called map[choice.RequestID]func(choice.Outcome, time.Duration)
	wakes  map[string]func(map[string]float64)
	armed  uint64
}

func newHost() *host { return &host{instances: map[int]*instance{}} }

// take handles one line and tells whether it closed the batch.
func (h *host) take(text []byte) (bool, error) {
	line, err := h.reader.Parse(text)
	if err != nil {
		return false, err
	}
	switch {
	case line.Name == "tick":
		if h.inBatch {
			return false, errors.New("tick: inside a batch")
		}
		h.inBatch = true
		at, err := line.Tick()
		if err == nil && at < h.now {
			err = errors.New("tick: clock-s: the clock goes back")
		}
		h.now = at
		return false, err
	case !h.inBatch:
		return false, fmt.Errorf("%s: outside a batch", line.Name)
	case line.Name == "flush":
		for _, in := range h.touched {
			if h.instances[in.who] == in {
				in.desk.Decide()
			}
			in.met = false
		}
		h.touched, h.inBatch = h.touched[:0], false
		return true, line.CheckFlush()
	}
	return false, h.event(line)
}

func (h *host) event(line simwire.Message) error {
	who, err := line.Instance()
	if err != nil {
		return err
	}
	in := h.instances[who]
	if line.Name == "boot" {
		seed, facts, err := line.Boot()
		if err != nil {
			return err
		}
		in = &instance{
			host: h, who: who,
			atCall: map[choice.RequestID]func(){},
			ended:  map[choice.RequestID]func(choice.Outcome, time.Duration){},
			called: map[choice.RequestID]func(choice.Outcome, time.Duration){},
			wakes:  map[string]func(map[string]float64){},
		}
		h.instances[who] = in
		h.touch(in)
		in.desk = choice.New(seed, facts, in)
		return nil
	}
	if in == nil {
		return fmt.Errorf("%s: who: instance %d was never booted", line.Name, who)
	}
	h.touch(in)
	return in.hear(line)
}

func (h *host) touch(in *instance) {
	if !in.met {
		in.met = true
		h.touched = append(h.touched, in)
	}
}

func (in *instance) hear(line simwire.Message) error {
	switch line.Name {
	case "order":
		op, err := line.Order()
		if err != nil {
			return err
		}
		in.desk.Submit(op)
	case "timeout-fired":
		token, gauges, err := line.TimeoutFired()
		if err != nil {
			return err
		}
		if then, known := in.wakes[token]; known {
			delete(in.wakes, token)
			then(gauges)
		}
	case "blocked":
		id, err := line.RequestID()
		if err != nil {
			return err
		}
		if then, known := in.atCall[id]; known {
			then()
		}
	case "ended":
		id, took, how, err := line.Ended()
		if err != nil {
			return err
		}
		then, known := in.ended[id]
		delete(in.ended, id)
		delete(in.atCall, id)
		delete(in.called, id)
		if known {
			then(how, took)
		}
	case "call-done":
		id, took, how, err := line.CallDone()
		if err != nil {
			return err
		}
		if then, known := in.called[id]; known {
			delete(in.called, id)
			then(how, took)
		}
	case "terminate-soon":
		at, err := line.TerminateSoon()
		if err != nil {
			return err
		}
		in.desk.Drain(at)
	case "aborted":
		id, err := line.RequestID()
		if err != nil {
			return err
		}
		in.desk.Cancel(id)
	case "power-off":
		if err := line.CheckPowerOff(); err != nil {
			return err
		}
		delete(in.host.instances, in.who)
	default:
		return fmt.Errorf("%s: unknown message", line.Name)
	}
	return nil
}

func (in *instance) say(name string, values ...any) { in.host.reply.Append(name, in.who, values...) }

// The rest is choice.Port.

func (in *instance) Now() time.Duration { return in.host.now }

func (in *instance) Start(id choice.RequestID, atCall func(), ended func(choice.Outcome, time.Duration)) {
	in.atCall[id], in.ended[id] = atCall, ended
	in.say("serve", id)
}

func (in *instance) Coalesce(id choice.RequestID, ended func(choice.Outcome, time.Duration)) {
	in.ended[id] = ended
	in.say("attach", id)
}

func (in *instance) Stop(id choice.RequestID) { in.say("take-off", id) }
func (in *instance) Fail(id choice.RequestID) { in.say("end-failed", id) }

func (in *instance) Reject(id choice.RequestID, stayAway time.Duration, nowhereElse bool) {
	in.say("shed", id, stayAway, nowhereElse)
}

func (in *instance) Call(id choice.RequestID, until time.Duration, done func(choice.Outcome, time.Duration)) {
	in.called[id] = done
	in.say("call", id, until)
}

func (in *instance) SkipCall(id choice.RequestID) { in.say("fall-back", id) }
func (in *instance) KeepRecord(id choice.RequestID, span time.Duration) {
	in.say("store-key", id, span)
}
func (in *instance) DropRecord(id choice.RequestID)    { in.say("unpin", id) }
func (in *instance) SetHealth(good, fromState bool)    { in.say("mark-health", good, fromState) }
func (in *instance) PublishLoad(level float64)         { in.say("hint-out", level) }
func (in *instance) SetIdleTimeout(span time.Duration) { in.say("idle", span) }
func (in *instance) LogTransition(text string)         { in.say("print", text) }
func (in *instance) WakeAt(at time.Duration, then func(map[string]float64)) {
	in.armed++
	token := strconv.FormatUint(in.armed, 10)
	in.wakes[token] = then
	in.say("arm", at, token)
}

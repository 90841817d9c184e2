package main

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/simulator"
)

// simulation turns messages straight into calls on the instances, and their answers into messages.
type simulation struct {
	parser    simulator.Parser
	reply     simulator.Reply
	now       time.Duration
	inBatch   bool
	instances map[int]*instance
	touched   []*instance // those with an event in this batch, in order of the first
}

// instance is one life of a service instance, with the closures its steps have left behind.
type instance struct {
	simulation *simulation
	number     int
	controller *admission.Controller
	touched    bool // has had an event in this batch
	onCall     map[admission.RequestID]func()
	onRunEnd   map[admission.RequestID]func(admission.Outcome, time.Duration)
	onCallDone map[admission.RequestID]func(admission.Outcome, time.Duration)
	onTimer    map[string]func(admission.Gauges)
	timers     uint64
}

func newSimulation() *simulation { return &simulation{instances: map[int]*instance{}} }

// handleLine handles one line and tells whether it closed the batch.
func (h *simulation) handleLine(text []byte) (bool, error) {
	message, err := h.parser.Parse(text)
	if err != nil {
		return false, err
	}
	switch {
	case message.Name == "tick":
		if h.inBatch {
			return false, errors.New("tick: inside a batch")
		}
		h.inBatch = true
		clock, err := message.Tick()
		if err == nil && clock < h.now {
			err = errors.New("tick: clock-s: the clock goes back")
		}
		h.now = clock
		return false, err
	case !h.inBatch:
		return false, fmt.Errorf("%s: outside a batch", message.Name)
	case message.Name == "flush":
		for _, touched := range h.touched {
			if h.instances[touched.number] == touched {
				touched.controller.Decide()
			}
			touched.touched = false
		}
		h.touched, h.inBatch = h.touched[:0], false
		return true, message.CheckFlush()
	}
	return false, h.handleEvent(message)
}

func (h *simulation) handleEvent(message simulator.Message) error {
	number, err := message.Instance()
	if err != nil {
		return err
	}
	target := h.instances[number]
	if message.Name == "boot" {
		seed, settings, err := message.Boot()
		if err != nil {
			return err
		}
		target = &instance{
			simulation: h, number: number,
			onCall:     map[admission.RequestID]func(){},
			onRunEnd:   map[admission.RequestID]func(admission.Outcome, time.Duration){},
			onCallDone: map[admission.RequestID]func(admission.Outcome, time.Duration){},
			onTimer:    map[string]func(admission.Gauges){},
		}
		h.instances[number] = target
		h.markTouched(target)
		target.controller = admission.New(seed, settings, target)
		return nil
	}
	if target == nil {
		return fmt.Errorf("%s: who: instance %d was never booted", message.Name, number)
	}
	h.markTouched(target)
	return target.dispatch(message)
}

func (h *simulation) markTouched(in *instance) {
	if !in.touched {
		in.touched = true
		h.touched = append(h.touched, in)
	}
}

func (in *instance) dispatch(message simulator.Message) error {
	switch message.Name {
	case "order":
		request, err := message.Order()
		if err != nil {
			return err
		}
		in.controller.Submit(request)
	case "timeout-fired":
		token, gauges, err := message.TimeoutFired()
		if err != nil {
			return err
		}
		if then, known := in.onTimer[token]; known {
			delete(in.onTimer, token)
			then(gauges)
		}
	case "blocked":
		id, err := message.RequestID()
		if err != nil {
			return err
		}
		if then, known := in.onCall[id]; known {
			then()
		}
	case "ended":
		id, elapsed, outcome, err := message.Ended()
		if err != nil {
			return err
		}
		then, known := in.onRunEnd[id]
		delete(in.onRunEnd, id)
		delete(in.onCall, id)
		delete(in.onCallDone, id)
		if known {
			then(outcome, elapsed)
		}
	case "call-done":
		id, elapsed, outcome, err := message.CallDone()
		if err != nil {
			return err
		}
		if then, known := in.onCallDone[id]; known {
			delete(in.onCallDone, id)
			then(outcome, elapsed)
		}
	case "terminate-soon":
		killAt, err := message.TerminateSoon()
		if err != nil {
			return err
		}
		in.controller.Drain(killAt)
	case "aborted":
		id, err := message.RequestID()
		if err != nil {
			return err
		}
		in.controller.Cancel(id)
	case "power-off":
		if err := message.CheckPowerOff(); err != nil {
			return err
		}
		delete(in.simulation.instances, in.number)
	default:
		return fmt.Errorf("%s: unknown message", message.Name)
	}
	return nil
}

func (in *instance) writeAction(name string, values ...any) {
	in.simulation.reply.Append(name, in.number, values...)
}

// The rest is choice.Port.

func (in *instance) Now() time.Duration { return in.simulation.now }

func (in *instance) Start(id admission.RequestID, onCall func(), onEnd func(admission.Outcome, time.Duration)) {
	in.onCall[id], in.onRunEnd[id] = onCall, onEnd
	in.writeAction("serve", id)
}

func (in *instance) Coalesce(id admission.RequestID, onEnd func(admission.Outcome, time.Duration)) {
	in.onRunEnd[id] = onEnd
	in.writeAction("attach", id)
}

func (in *instance) Stop(id admission.RequestID) { in.writeAction("take-off", id) }
func (in *instance) Fail(id admission.RequestID) { in.writeAction("end-failed", id) }

func (in *instance) Reject(id admission.RequestID, retryAfter time.Duration, noFailover bool) {
	in.writeAction("shed", id, retryAfter, noFailover)
}

func (in *instance) Call(id admission.RequestID, deadline time.Duration, done func(admission.Outcome, time.Duration)) {
	in.onCallDone[id] = done
	in.writeAction("call", id, deadline)
}

func (in *instance) SkipCall(id admission.RequestID) { in.writeAction("fall-back", id) }
func (in *instance) KeepRecord(id admission.RequestID, window time.Duration) {
	in.writeAction("store-key", id, window)
}
func (in *instance) DropRecord(id admission.RequestID) { in.writeAction("unpin", id) }
func (in *instance) SetHealth(health admission.Health) {
	in.writeAction("mark-health", health.Healthy, health.FromState)
}
func (in *instance) PublishLoad(level float64)            { in.writeAction("hint-out", level) }
func (in *instance) SetIdleTimeout(timeout time.Duration) { in.writeAction("idle", timeout) }

// stateNames are the simulator's words.
var stateNames = map[admission.State]string{
	admission.StateHealthy:  "well",
	admission.StateStalled:  "stuck",
	admission.StateFailing:  "failing",
	admission.StateDraining: "leaving",
}

func (in *instance) LogTransition(change admission.Transition) {
	in.writeAction("print", fmt.Sprintf("%s -> %s: held %d, running %d",
		stateNames[change.From], stateNames[change.To], change.Queued, change.Running))
}

func (in *instance) WakeAt(at time.Duration, then func(admission.Gauges)) {
	in.timers++
	token := strconv.FormatUint(in.timers, 10)
	in.onTimer[token] = then
	in.writeAction("arm", at, token)
}

package simulator

import (
	"fmt"
	"strconv"
	"time"

	"lanewheel/admission"
)

// instance is one incarnation of a service instance, with the callbacks for future events. It implements
// admission.Executor and writes each action as a line of the reply.
type instance struct {
	simulation    *simulation
	number        int
	controller    *admission.Controller
	needsDecision bool // an event of the current batch was for this instance
	onCall        map[admission.RequestID]func()
	onRunEnd      map[admission.RequestID]func(admission.Outcome, time.Duration)
	onCallDone    map[admission.RequestID]func(admission.Outcome, time.Duration)
	onTimer       map[string]func(admission.Gauges) // by token
	timerCount    uint64                            // number of timers set so far, from which their tokens are made
}

func newInstance(s *simulation, number int) *instance {
	return &instance{
		simulation: s,
		number:     number,
		onCall:     map[admission.RequestID]func(){},
		onRunEnd:   map[admission.RequestID]func(admission.Outcome, time.Duration){},
		onCallDone: map[admission.RequestID]func(admission.Outcome, time.Duration){},
		onTimer:    map[string]func(admission.Gauges){},
	}
}

// handlers holds the handler of each kind of line for a running instance.
var handlers = map[string]func(*instance, line) error{
	lineOrder:         (*instance).handleOrder,
	lineTimer:         (*instance).handleTimer,
	lineBlocked:       (*instance).handleBlocked,
	lineRunEnded:      (*instance).handleRunEnded,
	lineCallDone:      (*instance).handleCallDone,
	lineTerminateSoon: (*instance).handleTerminateSoon,
	lineAborted:       (*instance).handleAborted,
	linePowerOff:      (*instance).handlePowerOff,
}

func (in *instance) handle(l line) error {
	handler, ok := handlers[l.name]
	if !ok {
		return fmt.Errorf("%s: unknown message", l.name)
	}
	return handler(in, l)
}

func (in *instance) handleOrder(l line) error {
	request, err := decodeOrder(l)
	if err != nil {
		return err
	}
	in.controller.Submit(request)
	return nil
}

func (in *instance) handleTimer(l line) error {
	event, err := decodeTimer(l)
	if err != nil {
		return err
	}
	if onTimer, ok := in.onTimer[event.token]; ok {
		delete(in.onTimer, event.token)
		onTimer(event.gauges)
	}
	return nil
}

func (in *instance) handleBlocked(l line) error {
	id, err := decodeRequestID(l)
	if err != nil {
		return err
	}
	if onCall, ok := in.onCall[id]; ok {
		onCall()
	}
	return nil
}

func (in *instance) handleRunEnded(l line) error {
	event, err := decodeRunEnded(l)
	if err != nil {
		return err
	}
	onRunEnd, ok := in.onRunEnd[event.id]
	delete(in.onRunEnd, event.id)
	delete(in.onCall, event.id)
	delete(in.onCallDone, event.id)
	if ok {
		onRunEnd(event.outcome, event.elapsed)
	}
	return nil
}

func (in *instance) handleCallDone(l line) error {
	event, err := decodeCallDone(l)
	if err != nil {
		return err
	}
	if onCallDone, ok := in.onCallDone[event.id]; ok {
		delete(in.onCallDone, event.id)
		onCallDone(event.outcome, event.elapsed)
	}
	return nil
}

func (in *instance) handleTerminateSoon(l line) error {
	killAt, err := decodeTerminateSoon(l)
	if err != nil {
		return err
	}
	in.controller.Drain(killAt)
	return nil
}

func (in *instance) handleAborted(l line) error {
	id, err := decodeRequestID(l)
	if err != nil {
		return err
	}
	in.controller.Cancel(id)
	return nil
}

func (in *instance) handlePowerOff(l line) error {
	if err := checkPowerOff(l); err != nil {
		return err
	}
	delete(in.simulation.instances, in.number)
	return nil
}

// action begins a line of the reply.
func (in *instance) action(name string) action { return in.simulation.reply.action(name, in.number) }

func (in *instance) Now() time.Duration { return in.simulation.now }

func (in *instance) Start(id admission.RequestID, onCall func(), onEnd func(admission.Outcome, time.Duration)) {
	in.onCall[id], in.onRunEnd[id] = onCall, onEnd
	in.action(actionServe).id(id).end()
}

func (in *instance) Coalesce(id admission.RequestID, onEnd func(admission.Outcome, time.Duration)) {
	in.onRunEnd[id] = onEnd
	in.action(actionAttach).id(id).end()
}

func (in *instance) Stop(id admission.RequestID) { in.action(actionTakeOff).id(id).end() }
func (in *instance) Fail(id admission.RequestID) { in.action(actionEndFailed).id(id).end() }

func (in *instance) Reject(id admission.RequestID, retryAfter time.Duration, noFailover bool) {
	in.action(actionShed).id(id).seconds(retryAfter).flag(noFailover).end()
}

func (in *instance) Call(id admission.RequestID, deadline time.Duration, done func(admission.Outcome, time.Duration)) {
	in.onCallDone[id] = done
	in.action(actionCall).id(id).seconds(deadline).end()
}

func (in *instance) SkipCall(id admission.RequestID) { in.action(actionFallBack).id(id).end() }

func (in *instance) KeepRecord(id admission.RequestID, window time.Duration) {
	in.action(actionStoreKey).id(id).seconds(window).end()
}

func (in *instance) DropRecord(id admission.RequestID) { in.action(actionUnpin).id(id).end() }

func (in *instance) SetHealth(health admission.Health) {
	in.action(actionMarkHealth).flag(health.Healthy).flag(health.FromState).end()
}

func (in *instance) PublishLoad(level float64) { in.action(actionHintOut).number(level).end() }

func (in *instance) SetIdleTimeout(timeout time.Duration) {
	in.action(actionIdle).seconds(timeout).end()
}

func (in *instance) WakeAt(at time.Duration, then func(admission.Gauges)) {
	in.timerCount++
	token := strconv.FormatUint(in.timerCount, 10)
	in.onTimer[token] = then
	in.action(actionArm).seconds(at).text(token).end()
}

// stateNames holds the names of the states on the wire.
var stateNames = map[admission.State]string{
	admission.StateHealthy:  "well",
	admission.StateStalled:  "stuck",
	admission.StateFailing:  "failing",
	admission.StateDraining: "leaving",
}

func (in *instance) LogTransition(change admission.Transition) {
	text := fmt.Sprintf("%s -> %s: held %d, running %d",
		stateNames[change.From], stateNames[change.To], change.Queued, change.Running)
	in.action(actionPrint).text(text).end()
}

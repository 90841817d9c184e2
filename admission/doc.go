// Package admission decides, for one instance of a service, which requests are admitted, in which order they run, which
// upstream calls they make and when, and what is rejected with which advice. It follows the scheduler of the paper that
// docs/design.md cites; comments name the paper's sections, equations and symbols.
//
// A Controller holds the decisions and an Executor, implemented by the importer, carries them out:
//
//	controller := admission.New(seed, settings, executor)
//	controller.Submit(request) // for each request read from a caller
//	controller.Decide()        // once after each batch of events
//
// Other events are Controller.Cancel, when a caller has gone, Controller.Drain, when the instance will be killed, and
// the functions that the Executor was handed: a run reaches a call, a call is done, a run ends, a timer fires. Each
// batch of events, of whatever kind, is followed by one Decide.
//
// Each request that is submitted is answered in the time that its caller waits: by the end of its run, or by
// Executor.Reject or Executor.Fail. A run may go on after its request was answered; its result is then dropped.
//
// The package has no I/O, goroutine, log or clock, and is not safe for concurrent use: one goroutine owns a Controller.
// All times are durations since an origin that the Executor chooses. With the same seed, settings and events, the
// decisions are the same.
package admission

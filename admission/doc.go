// Package admission decides, for one instance of a service, which requests are admitted and in which order they
// run, which upstream calls they make and when, and which requests are rejected with which Retry-After advice. It
// implements the scheduler of the paper that docs/design.md cites. Comments refer to the paper's sections,
// equations and symbols.
//
// A Controller makes the decisions, and an Executor, implemented by the importing package, carries them out:
//
//	controller := admission.New(seed, settings, executor)
//	controller.Submit(request) // for each request read from a caller
//	controller.Decide()        // once after each batch of events
//
// Other events are calls of Controller.Cancel, when a caller has disconnected, of Controller.Drain, when the
// instance will be killed, and of the functions passed to the Executor: a run reaches a call, a call is done, a run
// ends, a timer fires. Each batch of events, of any kind, is followed by one call of Decide.
//
// Each submitted request is answered before its caller stops waiting: by the end of its run, by Executor.Reject or
// by Executor.Fail. A run may continue after its request was answered; its result is then discarded.
//
// The package has no I/O, goroutine, log or clock, and is not safe for concurrent use: one goroutine owns a
// Controller. All times are durations since an origin that the Executor chooses. The same seed, settings and events
// result in the same decisions.
package admission

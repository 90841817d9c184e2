package choice

import "time"

// Ids are opaque: they say nothing of age, order or place.
type (
	OpID     string
	CallerID int
	TenantID string
	OpType   string
)

// Facts are what an instance is told at its start: names to values. A value is a float64, a bool, a
// string, a time.Duration, a []bool, a []float64 or a []Facts.
type Facts map[string]any

// Ending tells how a run or a call came out.
type Ending int

const (
	Acked     Ending = iota // it went well
	Failed                  // the run failed, or the call failed below; an effect is possible
	Full                    // the call was turned away unseen: it never ran
	GivenUp                 // the call was given up; an effect is possible
	Unreached               // what lies below could not be reached: it never ran
	Broken                  // the call broke off; an effect is possible
	Cancelled               // the run was stopped
	Moot                    // nothing started: the op was over already
)

// Arrival is an op that has just been read.
type Arrival struct {
	ID        OpID
	Type      OpType
	Rank      float64 // 0 to under 1, an equal band for each importance
	Retry     bool    // a further try, where tries are marked
	Write     bool
	Subject   string // empty where ops name none
	Caller    CallerID
	Waits     bool          // whether the caller says how long it waits
	ToldWait  time.Duration // when it stops waiting, a time since the start
	Hint      time.Duration // rough work, 0 where none is given
	KB        float64       // memory while held
	Lay       time.Duration // time since it came to the machine
	Tenant    TenantID      // empty where there are none
	RepeatsOf OpID          // the kept op that this one repeats, or empty
}

// Port is all that an instance can do. Each step names the closures that its result is handed to.
type Port interface {
	Now() time.Duration

	// Run starts a held op. atCall is called each time it stands at a call, ended once.
	Run(id OpID, atCall func(), ended func(how Ending, took time.Duration))
	// Stop takes a running op off the cores; ended of its Run confirms.
	Stop(id OpID)
	// Share answers a held op with the result of the op that it repeats.
	Share(id OpID, ended func(how Ending, took time.Duration))
	// Nack turns an op away; Fail answers it with an error.
	Nack(id OpID, stayAway time.Duration, nowhereElse bool)
	Fail(id OpID)

	// Call lets an op that stands at a call make it; SkipCall leaves the call out.
	Call(id OpID, until time.Duration, done func(how Ending, took time.Duration))
	SkipCall(id OpID)

	// KeepKey remembers an op so that repeats of it are known; DropKey forgets it.
	KeepKey(id OpID, span time.Duration)
	DropKey(id OpID)

	Health(good, fromState bool)
	Signal(level float64)
	IdleFor(span time.Duration) // how long an unused connection may stay
	Wake(at time.Duration, then func(gauges map[string]float64))
	Note(line string)
}

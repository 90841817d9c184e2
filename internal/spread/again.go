package spread

import "time"

// Try is how far an op has come at a decider.
type Try struct {
	Due     time.Duration
	Tries   int  // that were made
	Most    int  // that may be made
	Repeats bool // it may run twice
	Passed  bool // another process has passed it on to us, and tries again by itself
}

// Step is what comes next of an op.
type Step uint8

const (
	Pass  Step = iota // what came back is its answer
	Again             // another member is asked
)

// Next decides what becomes of an op whose try has ended. unsent tells that nothing of it went out. What proves that the op never ran
// lets another be asked, within the budget and while there is time for an op as it usually takes; what proves nothing lets one that
// may run twice be tried again and is an honest failure of one that may not.
func (c *Chooser) Next(now time.Duration, t Try, what Outcome, unsent, nowhereElse bool) Step {
	switch {
	case what == Served || what == Failed || nowhereElse:
		return Pass
	case what == Lost && !unsent && !t.Repeats:
		return Pass
	case t.Tries >= t.Most || now+time.Duration(c.usual*float64(time.Second)) >= t.Due:
		return Pass
	// Where nothing went out nobody below has had work by it, so it costs no budget.
	case !unsent && !c.Second(t.Passed):
		return Pass
	}
	return Again
}

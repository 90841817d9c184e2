package delivery

const (
	// initialRetries is the number of retries in a new budget.
	initialRetries = 10
	// maxSavedRetries is the maximum number of retries in a budget: the retries of a busy queue in some seconds.
	maxSavedRetries = 100
)

// RetryBudget limits the retries of all messages to a fraction of the fresh messages, so that an overloaded fleet does
// not spend its time passing the same messages around. It must be used by one goroutine only.
type RetryBudget struct {
	fraction  float64 // retries granted for each fresh message
	remaining float64 // retries that may still be granted
}

// NewRetryBudget returns a budget that grants fraction retries for each fresh message, plus initialRetries.
func NewRetryBudget(fraction float64) *RetryBudget {
	return &RetryBudget{fraction: fraction, remaining: initialRetries}
}

// CountFresh adds fraction retries to the budget, for a message that arrived for the first time.
func (b *RetryBudget) CountFresh() {
	b.remaining = min(maxSavedRetries, b.remaining+b.fraction)
}

func (b *RetryBudget) take() bool {
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}

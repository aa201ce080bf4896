package caller

// Limits of a connection's retry budget.
const (
	retryShare     = 0.1  // retries that each request adds to the budget
	initialRetries = 3.0  // budget of a new connection
	retryBurst     = 10.0 // largest budget: the share of 100 requests
)

// RetryBudget limits retries to a share of the recent requests, so that retries
// don't add to an overload. The engines of one connection share it.
type RetryBudget struct {
	saved float64
}

// NewRetryBudget returns a budget that allows the first few retries at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{saved: initialRetries} }

// Earn adds the share of one request to the budget.
func (b *RetryBudget) Earn() { b.saved = min(b.saved+retryShare, retryBurst) }

// Spend reports whether one more retry is allowed, and if so deducts it.
func (b *RetryBudget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

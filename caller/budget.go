package caller

// The retry budget of a connection: each request earns a share of a retry.
const (
	retryShare   = 0.1  // retries earned by one request
	firstRetries = 3.0  // retries allowed before any was earned
	mostRetries  = 10.0 // retries that can be saved up, from the latest 100 requests
)

// RetryBudget bounds retries to a share of the requests sent of late, so that
// retries do not add to an overload. Engines of one connection share it.
type RetryBudget struct {
	saved float64
}

// NewRetryBudget returns a budget that allows a few retries at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{saved: firstRetries} }

// Earn counts one request.
func (b *RetryBudget) Earn() { b.saved = min(b.saved+retryShare, mostRetries) }

// Spend reports whether one more retry is allowed, and takes it.
func (b *RetryBudget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

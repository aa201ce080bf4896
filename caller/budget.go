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
	balance float64 // retries allowed now
}

// NewRetryBudget returns a budget that allows the first few retries at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: initialRetries} }

// Earn adds the share of one request to the budget.
func (b *RetryBudget) Earn() { b.balance = min(b.balance+retryShare, retryBurst) }

// Spend reports whether one more retry is allowed, and if so deducts it.
func (b *RetryBudget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

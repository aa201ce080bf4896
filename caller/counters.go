package caller

// Counters count what the engines of one connection did.
type Counters struct {
	Requests  uint64 // requests started
	Answered  uint64 // requests ended by an answer
	Retries   uint64 // requests sent again after a refusal
	Exhausted uint64 // retries left out for want of budget
	Repeats   uint64 // parts sent again
	Opens     uint64 // flows opened
	Reopens   uint64 // flows whose token was refused
	Moves     uint64 // requests moved to a reopened flow
	Owners    uint64 // changes of owner seen
	Contested uint64 // permits asked for by another owner after one was granted
	Foreign   uint64 // packets that belong to no flow or request here
}

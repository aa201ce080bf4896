package caller

// Counters count events of all flows of one connection.
type Counters struct {
	Requests  uint64 // requests started
	Answered  uint64 // requests that ended with an answer
	Retries   uint64 // requests sent again after a refusal
	Exhausted uint64 // retries not made because the retry budget was empty
	Repeats   uint64 // parts sent again
	Opens     uint64 // flows opened, including reopened ones
	Reopens   uint64 // flows reopened because their token was refused
	Moves     uint64 // requests moved to a reopened flow
	Owners    uint64 // changes of a flow's owner
	Contested uint64 // Asks left without a Permit, as it was granted for another nonce
	Foreign   uint64 // packets that are malformed or belong to no flow or request of the connection
}

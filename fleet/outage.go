package fleet

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// StoreTimeout limits the time in which the store answers a call, in addition to the wait of a
// watch. The store takes 4 ms, or 0.3 s when it is slow.
const StoreTimeout = 700 * clock.Millisecond

// outages has what this member knows of outages of the store. An outage is proved by members
// whose calls failed for so long that every other member was due to read the store too, while
// no answer to any became known. That a member missed answers or messages proves none: it may
// have stalled, the store may refuse it alone, or another one may have handed over the watch.
type outages struct {
	answeredAt    clock.Millis // last answer of the store to any member that this one knows of; 0 for none
	confirmedAt   clock.Millis // the same, later by the delays of messages that passed it on
	firstFailedAt clock.Millis // first failed call of this member since then; 0 for none
	proved        bool         // these failures prove an outage
	// Latest time without an answer that was long enough for an outage.
	gapFrom, gapTo clock.Millis
	reportedEnd    clock.Millis // end of the last outage that other members proved; 0 for none
	endedAt        clock.Millis // end of the last outage; 0 for none
}

// minOutage returns the time without an answer from which on failed calls prove an outage. The
// member of the lowest rank reads the store at the last before it, and its call has ended.
func (e *Engine) minOutage() clock.Millis {
	return fractionOf(e.settings.RecordBound, staleFraction+staggerFraction) + StoreTimeout
}

// recordStoreFailure counts a failed call of this member. Calls that ended around a stall of its
// own may have failed because of it.
func (e *Engine) recordStoreFailure(now clock.Millis) {
	o := &e.outages
	if now < e.stalledUntil {
		return
	}
	if o.firstFailedAt == 0 {
		o.firstFailedAt = now
	}
	// A call that fails after a single one that got no answer in time isn't enough.
	if now-o.firstFailedAt >= StoreTimeout && now-max(o.answeredAt, e.startedAt) >= e.minOutage() {
		o.proved = true
	}
}

// recordAnswers notices answers of the store by the confirmation times of the records. Members
// that pass the same confirmation on to each other make it seem a little later each time.
func (e *Engine) recordAnswers() {
	o := &e.outages
	at := max(e.configurationConfirmedAt, e.endpointsConfirmedAt, e.evacuations.confirmedAt)
	delay := at - o.confirmedAt
	o.confirmedAt = max(o.confirmedAt, at)
	if delay <= heartbeatSlack {
		return
	}
	if since := max(o.answeredAt, e.startedAt); at-since >= e.minOutage() {
		o.gapFrom, o.gapTo = since, at
		if o.proved && at > o.firstFailedAt {
			o.endedAt = max(o.endedAt, at)
		}
	}
	o.answeredAt = at
	if at > o.firstFailedAt {
		o.forgetFailures()
	}
	o.applyReport()
}

// recordReport takes the age of the last outage from the record state of another member.
func (e *Engine) recordReport(sentAt, age clock.Millis) {
	if age == 0 {
		return
	}
	e.outages.reportedEnd = max(e.outages.reportedEnd, sentAt-age)
	e.outages.applyReport()
}

// applyReport accepts an outage that another member reported if this one knows of no answer
// during it. The other may have been cut off from both the store and the members.
func (o *outages) applyReport() {
	if o.gapTo != 0 && o.reportedEnd > o.gapFrom {
		o.endedAt = max(o.endedAt, min(o.reportedEnd, o.gapTo))
	}
}

func (o *outages) forgetFailures() { o.firstFailedAt, o.proved = 0, false }

// suspend makes all times older by a suspension of the process.
func (o *outages) suspend(duration clock.Millis) {
	o.forgetFailures()
	for _, at := range []*clock.Millis{&o.answeredAt, &o.confirmedAt, &o.gapFrom, &o.gapTo, &o.reportedEnd, &o.endedAt} {
		if *at != 0 {
			*at -= duration
		}
	}
}

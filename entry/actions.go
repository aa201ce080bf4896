package entry

import (
	"context"

	"github.com/tanagerdock/tanagerdock/instance"
)

// performAction carries out one action of the engine.
func (d *Daemon) performAction(ctx context.Context, a instance.Action) {
	switch a := a.(type) {
	case instance.SendPacket:
		d.sendPacket(a)
	case instance.SendEnvelope:
		d.sendEnvelope(a)
	case instance.RunRequest:
		d.startRun(ctx, a)
	case instance.HandOver:
		d.startHandOver(ctx, a)
	case instance.CancelRun:
		if cancel := d.runCancels[a.RunID]; cancel != nil {
			cancel()
		}
	case instance.AnswerHandOver:
		d.answerHandOver(a)
	case instance.ProbeEndpoint:
		d.tasks.Go(func() { d.enqueue(input{event: d.backendClient.probe(ctx, a)}) })
	case instance.FetchObjects:
		d.tasks.Go(func() { d.fetchObjects(ctx, a) })
	case instance.WriteStatus:
		d.statusWrites.put(a.Status)
	case instance.DeleteStatus:
		d.tasks.Go(func() { d.deleteStatus(ctx, a) })
	case instance.RenewLease:
		d.leaseRenewals.put(a.Instance)
	case instance.LogDecision:
		d.decisionLog.add(a)
	case instance.ObserveValue:
		d.metrics.observeValue(a)
	case instance.WatchPlatform:
		d.watchGate.Set(a.Enabled)
	case instance.UseRouter:
		d.router.Store(a.Router)
	case instance.Stopped:
		d.engineStopped = true
	}
}

func (d *Daemon) startRun(ctx context.Context, a instance.RunRequest) {
	ctx, d.runCancels[a.RunID] = context.WithCancel(ctx)
	d.tasks.Go(func() {
		result := d.backendClient.run(ctx, a)
		d.enqueue(input{event: instance.RunEnded{RunID: a.RunID, Result: result}})
	})
}

func (d *Daemon) startHandOver(ctx context.Context, a instance.HandOver) {
	ctx, d.runCancels[a.RunID] = context.WithCancel(ctx)
	d.tasks.Go(func() {
		result := d.peerClient.handOver(ctx, a)
		d.enqueue(input{event: instance.HandOverEnded{RunID: a.RunID, Result: result}})
	})
}

// answerHandOver sends a result to the control call that waits for it. The reply
// channel has room for one result, so the send does not block.
func (d *Daemon) answerHandOver(a instance.AnswerHandOver) {
	reply := d.handOverReplies[a.CallID]
	if reply == nil {
		return
	}
	delete(d.handOverReplies, a.CallID)
	reply <- a.Result
}

package entry

import (
	"context"

	"github.com/tanagerdock/tanagerdock/instance"
)

// perform carries out one action.
func (d *Daemon) perform(ctx context.Context, a instance.Action) {
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
		if cancel := d.cancels[a.RunID]; cancel != nil {
			cancel()
		}
	case instance.AnswerHandOver:
		d.answerPeer(a)
	case instance.ProbeEndpoint:
		d.work.Go(func() { d.send(input{event: d.runner.probe(ctx, a)}) })
	case instance.FetchObjects:
		d.work.Go(func() { d.fetchObjects(ctx, a) })
	case instance.WriteStatus:
		d.statuses.put(a.Status)
	case instance.DeleteStatus:
		d.work.Go(func() { d.dropStatus(ctx, a) })
	case instance.RenewLease:
		d.announcements.put(a.Instance)
	case instance.LogDecision:
		d.notes.add(a)
	case instance.ObserveValue:
		d.counts.observe(a)
	case instance.WatchPlatform:
		d.watching.Set(a.Enabled)
	case instance.UseRouter:
		d.router.Store(a.Router)
	case instance.Stopped:
		d.stopped = true
	}
}

func (d *Daemon) startRun(ctx context.Context, a instance.RunRequest) {
	ctx, d.cancels[a.RunID] = context.WithCancel(ctx)
	d.work.Go(func() {
		result := d.runner.run(ctx, a)
		d.send(input{event: instance.RunEnded{RunID: a.RunID, Result: result}})
	})
}

func (d *Daemon) startHandOver(ctx context.Context, a instance.HandOver) {
	ctx, d.cancels[a.RunID] = context.WithCancel(ctx)
	d.work.Go(func() {
		result := d.peers.handOver(ctx, a)
		d.send(input{event: instance.HandOverEnded{RunID: a.RunID, Result: result}})
	})
}

// answerPeer hands a result to the call that waits for it, which always has
// room for one.
func (d *Daemon) answerPeer(a instance.AnswerHandOver) {
	reply := d.replies[a.CallID]
	if reply == nil {
		return
	}
	delete(d.replies, a.CallID)
	reply <- a.Result
}

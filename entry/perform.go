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
		if cancel := d.cancels[a.Run]; cancel != nil {
			cancel()
		}
	case instance.AnswerPeer:
		d.answerPeer(a)
	case instance.ProbeEndpoint:
		d.work.Go(func() { d.send(input{event: d.runner.probe(ctx, a)}) })
	case instance.FetchObjects:
		d.work.Go(func() { d.fetchObjects(ctx, a) })
	case instance.WriteStatus:
		d.statuses.put(a.Status)
	case instance.DropStatus:
		d.work.Go(func() { d.dropStatus(ctx, a) })
	case instance.Announce:
		d.announcements.put(a.Instance)
	case instance.Note:
		d.notes.add(a)
	case instance.Observe:
		d.counts.observe(a)
	case instance.WatchPlatform:
		d.watching.Set(a.On)
	case instance.UseRouter:
		d.router.Store(a.Router)
	case instance.Stopped:
		d.stopped = true
	}
}

func (d *Daemon) startRun(ctx context.Context, a instance.RunRequest) {
	ctx, d.cancels[a.Run] = context.WithCancel(ctx)
	d.work.Go(func() {
		result := d.runner.run(ctx, a)
		d.send(input{event: instance.RunEnded{Run: a.Run, Result: result}})
	})
}

func (d *Daemon) startHandOver(ctx context.Context, a instance.HandOver) {
	ctx, d.cancels[a.Run] = context.WithCancel(ctx)
	d.work.Go(func() {
		result := d.peers.handOver(ctx, a)
		d.send(input{event: instance.HandOverEnded{Run: a.Run, Result: result}})
	})
}

// answerPeer hands a result to the call that waits for it, which always has
// room for one.
func (d *Daemon) answerPeer(a instance.AnswerPeer) {
	reply := d.replies[a.Call]
	if reply == nil {
		return
	}
	delete(d.replies, a.Call)
	reply <- a.Result
}

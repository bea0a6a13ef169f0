package app

import (
	"context"
	"log/slog"
	"time"

	"rampspread/internal/chatapi"
	"rampspread/internal/state/inflight"
	"rampspread/internal/state/statetransfer"
	"rampspread/internal/system"
	"rampspread/routing"
)

// shareOpen shares what is in hand with other processes of this name on this machine, where they have a folder in common.
func shareOpen(machine system.System, dir, name string, chat *chatapi.Config) *inflight.Table {
	if dir == "" {
		return nil
	}
	var keep time.Duration
	if chat != nil {
		keep = chat.Retention()
	}
	t, err := inflight.Start(machine, dir, name, keep)
	if err != nil {
		slog.Warn("beside_refused", "err", err)
	}
	return t
}

// giveUp ends what is unanswered before the platform kills this process, if another has taken its place: the two count as one, so
// what this one left held at replicas would stay so. With none beside it replicas free that by themselves.
func (p *program) giveUp() {
	if p.beside.HasPeers() {
		slog.Info("given_up")
		p.core.AbandonPending()
	}
}

// handOver begins with what another process of this name has learnt, and then leaves what this one learns to those that ask, until
// the context ends.
func (p *program) handOver(ctx context.Context, at statetransfer.Exchange) {
	at.Request(ctx, p.core.Restore)
	at.Serve(ctx, func() (routing.Snapshot, bool) { return p.core.Snapshot(ctx, statetransfer.MaxPrefixes) })
}

// leave leaves what this process has learnt: it goes.
func (p *program) leave(ctx context.Context, at statetransfer.Exchange) {
	b, ok := p.core.Snapshot(ctx, statetransfer.MaxPrefixes)
	if !ok {
		return
	}
	if err := at.Write(b); err != nil {
		slog.Warn("handover_leave", "err", err)
	}
}

// peers tells other members of the fleet what this process has learnt, and learns from them.
type peers struct {
	p     *program
	fleet string
}

// as is whose beliefs are packed: the fleet's, under the settings in force.
func (k peers) as() statetransfer.Exchange {
	return statetransfer.Exchange{Machine: k.p.machine, Name: k.fleet, Settings: k.p.settings.Load()}
}

// Tell implements fleet.Knows.
func (k peers) Tell(ctx context.Context) ([]byte, bool) {
	b, ok := k.p.core.Snapshot(ctx, peerTexts)
	if !ok {
		return nil, false
	}
	text, err := k.as().Encode(b)
	if err != nil {
		slog.Warn("beliefs", "err", err)
	}
	return text, err == nil
}

// Learn implements fleet.Knows.
func (k peers) Learn(told []byte) error {
	b, err := k.as().Decode(told)
	if err != nil {
		return err
	}
	k.p.core.RestoreFromPeer(b)
	return nil
}

// peerTexts is how many texts go to another member, the youngest.
const peerTexts = 3000

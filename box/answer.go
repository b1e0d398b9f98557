package box

import (
	"context"
	"time"

	"leverdrum/reason"
	"leverdrum/wire"
)

func notReady() *wire.Response {
	return &wire.Response{Refusal: &wire.Refusal{Code: reason.PeerNotLeader.Code, Text: "the box has not found its cluster yet"}}
}

func (b *Box) answer(ctx context.Context, p *parts, from *wire.Member, r *wire.Request) *wire.Response {
	switch k := r.Kind.(type) {
	case *wire.Request_Follow:
		u, err := p.spread.AnswerFollow(ctx, from, k.Follow)
		if err != nil {
			return notReady()
		}
		return &wire.Response{Kind: &wire.Response_Follow{Follow: u}}
	case *wire.Request_Probe:
		return &wire.Response{Kind: &wire.Response_Probe{Probe: p.spread.AnswerProbe()}}
	case *wire.Request_Forward:
		return b.answerForward(ctx, p, k.Forward)
	case *wire.Request_Quota:
		q := p.quotas
		if k.Quota.Servers {
			q = p.limits
		}
		return &wire.Response{Kind: &wire.Response_Quota{Quota: q.answer(from.GetBox(), k.Quota)}}
	}
	return p.guard.HandleRequest(r)
}

func (b *Box) answerForward(ctx context.Context, p *parts, f *wire.Forward) *wire.Response {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.DeadlineMs)*time.Millisecond)
	defer cancel()
	a, err := lead(ctx, p, f)
	if err != nil {
		return &wire.Response{Refusal: &wire.Refusal{Code: reason.PeerNotLeader.Code, Text: reason.PeerNotLeader.Title}}
	}
	return &wire.Response{Kind: &wire.Response_Forward{Forward: a}}
}

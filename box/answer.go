package box

import (
	"context"
	"time"

	"leverdrum/reason"
	"leverdrum/wire"
)

func notReadyResponse() *wire.Response {
	return &wire.Response{Refusal: &wire.Refusal{Code: reason.PeerNotLeader.Code, Text: "the box has not found its cluster yet"}}
}

func (b *Box) dispatch(ctx context.Context, p *components, from *wire.Member, r *wire.Request) *wire.Response {
	switch k := r.Kind.(type) {
	case *wire.Request_Follow:
		u, err := p.spread.AnswerFollow(ctx, from, k.Follow)
		if err != nil {
			return notReadyResponse()
		}
		return &wire.Response{Kind: &wire.Response_Follow{Follow: u}}
	case *wire.Request_Probe:
		return &wire.Response{Kind: &wire.Response_Probe{Probe: p.spread.AnswerProbe()}}
	case *wire.Request_Forward:
		return b.answerForward(ctx, p, k.Forward)
	case *wire.Request_Quota:
		q := p.quotas
		if k.Quota.Servers {
			q = p.serverLimits
		}
		return &wire.Response{Kind: &wire.Response_Quota{Quota: q.grantLeases(from.GetBox(), k.Quota)}}
	case *wire.Request_Origin:
		return &wire.Response{Kind: &wire.Response_Origin{Origin: p.origins.Serve(ctx, k.Origin)}}
	}
	return p.claims.HandleRequest(r)
}

func (b *Box) answerForward(ctx context.Context, p *components, f *wire.Forward) *wire.Response {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.DeadlineMs)*time.Millisecond)
	defer cancel()
	a, err := executeAsLeader(ctx, p, f)
	if err != nil {
		return &wire.Response{Refusal: &wire.Refusal{Code: reason.PeerNotLeader.Code, Text: reason.PeerNotLeader.Title}}
	}
	return &wire.Response{Kind: &wire.Response_Forward{Forward: a}}
}

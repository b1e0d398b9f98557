package box

import (
	"context"
	"time"

	"leverdrum/platform"
	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for reading the active fleet file back:
//
//  1. A box confirms with the leader which version is the newest, and answers from its own state once that includes
//     the version: the text, some MB at the most, is already here.
//  2. If the text takes longer than maxSendTime to send over the box's link, the caller is redirected to the leader.
//     Operators wait about a second for a whole response and then ask another box, whose link may be as slow. No
//     caller is redirected to a leader that has not just answered (1).
//  3. A box that does not have the version within maxCatchUp redirects the caller to the leader, too.
const (
	maxSendTime = 200 * time.Millisecond
	maxCatchUp  = 250 * time.Millisecond
)

// Configuration returns the newest committed configuration, no text if the fleet file has another format.
func (c *platformCluster) Configuration(ctx context.Context) (platform.Configuration, error) {
	answer, err := c.forward(ctx, &wire.Forward{Kind: wire.ForwardKind_FORWARD_READ, FileOnly: true, VersionOnly: true})
	if err != nil {
		return platform.Configuration{}, err
	}
	newest := answer.Read.State
	if newest.FleetFormat != platform.Format {
		return platform.Configuration{}, nil
	}
	if at := c.redirectFor(c.components.replica.View()); at != "" { // before waiting for text that it would not send
		return platform.Configuration{RedirectTo: at}, nil
	}
	view, err := c.components.awaitFile(ctx, newest.Fleet.GetIndex(), maxCatchUp)
	if err != nil { // (3)
		if at := c.leaderAddress(); at != "" {
			return platform.Configuration{RedirectTo: at}, nil
		}
		return platform.Configuration{}, err
	}
	if at := c.redirectFor(view); at != "" {
		return platform.Configuration{RedirectTo: at}, nil
	}
	return platform.Configuration{Text: []byte(view.Text)}, nil
}

// redirectFor returns the leader's address if this box should not send the fleet file of a state itself (2), else "".
func (c *platformCluster) redirectFor(view *state.State) string {
	if sendTime(len(view.Text), c.box.settings.LinkMbps) <= maxSendTime {
		return ""
	}
	return c.leaderAddress()
}

// sendTime returns how long a link of a bandwidth in Mbit/s takes to send a number of bytes; 0 if the bandwidth is unknown.
func sendTime(bytes int, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	const bitsPerByte, mega = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / (mbps * mega) * float64(time.Second))
}

// leaderAddress returns the address at which the leader receives the platform's calls, "" if this box leads or knows no
// leader.
func (c *platformCluster) leaderAddress() string {
	leader := c.components.spread.Leader()
	if leader == c.components.replica.ID() {
		return ""
	}
	m := c.components.replica.View().Members[wire.BoxOf(leader)]
	if m == nil || state.MemberID(m) != leader {
		return ""
	}
	return m.AnnounceAddress
}

// awaitFile returns the box's state once it includes the fleet file of a log index or a newer one. It waits for the given time
// at most.
func (p *components) awaitFile(ctx context.Context, index uint64, timeout time.Duration) (*state.State, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		changed := p.replica.Changed()
		if view := p.replica.View(); view.Version.GetIndex() >= index {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, Error.New("this box lacks the newest fleet file: %w", ctx.Err())
		}
	}
}

package box

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/state"
	"leverdrum/wire"
)

// formRetryPause is the delay between two attempts to find or form the cluster. A box without a
// disk does this at each start, and callers wait for it.
const formRetryPause = 50 * time.Millisecond

// awaitCluster returns once this box belongs to a cluster. A new box adopts
// the cluster ID of any box it contacts that has one. The first members form the
// cluster if all of them are new: the first of them by name writes the initial
// configuration to its disk and then notifies the others. A box that lost its disk
// contacts members of the cluster and joins them; it can never form a second
// cluster, because the others are not new.
func (b *Box) awaitCluster(ctx context.Context) error {
	for {
		peers := b.contactAll(ctx)
		if _, id := b.id.Cluster(); id != "" {
			return nil
		}
		if err := b.tryForm(peers); err != nil {
			return err
		}
		select {
		case <-b.id.adopted:
			return nil
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(formRetryPause):
		}
	}
}

// contactAll contacts all boxes of the settings concurrently. If one belongs to a
// cluster, this box adopts that cluster and does not wait for the others.
func (b *Box) contactAll(ctx context.Context) map[string]*wire.Member {
	type answer struct {
		box    string
		member *wire.Member
	}
	boxes := b.knownAddresses()
	answers := make(chan answer, len(boxes))
	for name := range boxes {
		go func() {
			if name == b.settings.Box {
				answers <- answer{name, b.id.Self()}
				return
			}
			m, err := b.pool.OpenSession(ctx, name)
			if err != nil {
				m = nil
			}
			answers <- answer{name, m}
		}()
	}
	peers := map[string]*wire.Member{}
	for range boxes {
		select {
		case a := <-answers:
			if a.member != nil {
				peers[a.box] = a.member
			}
		case <-b.id.adopted:
			return peers
		}
	}
	return peers
}

// tryForm forms the cluster if this box is the one responsible for it and all first
// members responded and are new.
func (b *Box) tryForm(peers map[string]*wire.Member) error {
	if b.store == nil || len(b.settings.FirstMembers) == 0 || b.settings.Box != slices.Min(b.settings.FirstMembers) {
		return nil
	}
	var voters []string
	for _, name := range b.settings.FirstMembers {
		m := peers[name]
		if m == nil {
			return nil
		}
		voters = append(voters, state.MemberID(m))
	}
	slices.Sort(voters)
	first := &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: voters}}
	if err := b.store.SaveSnapshot(first, &wire.HardState{Term: 1}, nil); err != nil {
		return Error.Wrap(err)
	}
	if err := b.store.Reload(); err != nil {
		return Error.Wrap(err)
	}
	event.ClusterFormed.Log(b.log, zap.Strings("voters", voters))
	return b.id.Adopt(rand.Text())
}

// announceCluster sends the cluster ID to the other first members, which were new when
// they were contacted.
func (b *Box) announceCluster(ctx context.Context) {
	_, id := b.id.Cluster()
	for _, name := range b.settings.FirstMembers {
		if name == b.settings.Box {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		// A box that misses this call learns the ID from the next Hello.
		_, _ = b.pool.Call(ctx, name, &wire.Request{Kind: &wire.Request_Form{Form: &wire.Form{ClusterId: id}}})
		cancel()
	}
}

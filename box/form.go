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

// formPause is the time between two attempts to find or form the cluster. A box without a
// disk does this at each start, and callers wait for it.
const formPause = 50 * time.Millisecond

// awaitCluster returns once this box belongs to a cluster. A new box takes over
// the id of any formed box that it meets. The first members form the cluster
// when all of them are new: the first of them by name writes the first
// configuration to its disk and then tells the others. A box whose disk was
// lost meets formed boxes and joins them; it can never form a second cluster,
// because the others are not new.
func (b *Box) awaitCluster(ctx context.Context) error {
	for {
		met := b.meetAll(ctx)
		if _, id := b.id.Cluster(); id != "" {
			return nil
		}
		if err := b.tryForm(met); err != nil {
			return err
		}
		select {
		case <-b.id.adopted:
			return nil
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(formPause):
		}
	}
}

// meetAll meets all boxes of the settings at once; meeting a formed one makes
// this box take over its cluster, and then the others are not waited for.
func (b *Box) meetAll(ctx context.Context) map[string]*wire.Member {
	type answer struct {
		box    string
		member *wire.Member
	}
	boxes := b.known()
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
	met := map[string]*wire.Member{}
	for range boxes {
		select {
		case a := <-answers:
			if a.member != nil {
				met[a.box] = a.member
			}
		case <-b.id.adopted:
			return met
		}
	}
	return met
}

// tryForm forms the cluster when this box is the one to do so and all first
// members were met, all of them new.
func (b *Box) tryForm(met map[string]*wire.Member) error {
	if b.store == nil || len(b.settings.FirstMembers) == 0 || b.settings.Box != slices.Min(b.settings.FirstMembers) {
		return nil
	}
	var voters []string
	for _, name := range b.settings.FirstMembers {
		m := met[name]
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

// tellFormed pushes the cluster's id to first members that were new when they
// were met.
func (b *Box) tellFormed(ctx context.Context) {
	_, id := b.id.Cluster()
	for _, name := range b.settings.FirstMembers {
		if name == b.settings.Box {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		// A box that misses this learns the id from the next Hello.
		_, _ = b.pool.Call(ctx, name, &wire.Request{Kind: &wire.Request_Form{Form: &wire.Form{ClusterId: id}}})
		cancel()
	}
}

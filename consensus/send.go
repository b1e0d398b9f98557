package consensus

import (
	"slices"

	"leverdrum/wire"
)

// TakeOutput returns the effects since the last call.
func (n *Node) TakeOutput() Output {
	if n.role == Leader {
		n.flush()
	}
	out := n.out
	n.out = Output{}
	out.Commit = n.commit
	if n.hardDirty {
		out.HardState = &wire.HardState{Term: n.term, Vote: n.vote}
		n.hardDirty = false
	}
	if n.snapshotDirty {
		out.Snapshot = n.log.snapshot
		n.snapshotDirty = false
	}
	if n.unstableFrom != 0 {
		out.Entries = slices.Clone(n.log.from(n.unstableFrom))
		n.unstableFrom = 0
	}
	return out
}

// flush sends the leader's pending round or new entries.
func (n *Node) flush() {
	if n.wantRound {
		n.startRound()
	} else if n.wantAppend {
		n.sendAppends(false)
	}
	n.wantRound, n.wantAppend = false, false
}

func (n *Node) startRound() {
	n.round++
	n.roundSent[n.round] = n.now // (4.1)
	n.deadline = n.now + n.opts.Heartbeat
	n.sendAppends(true)
	n.confirmRounds()
}

func (n *Node) sendAppends(always bool) {
	for _, id := range sortedKeys(n.peers) {
		p := n.peers[id]
		if always || p.next <= n.log.lastIndex() {
			n.sendAppend(id, p)
		}
	}
}

func (n *Node) sendAppend(id string, p *progress) {
	if p.next <= n.log.snapshotIndex() {
		n.send(&wire.Message{Type: wire.MessageType_MESSAGE_SNAPSHOT, To: id, Round: n.round, Snapshot: n.log.snapshot})
		p.next = n.log.snapshotIndex() + 1
		return
	}
	prev := p.next - 1
	entries := n.log.batch(p.next, maxAppendBytes)
	n.send(&wire.Message{
		Type: wire.MessageType_MESSAGE_APPEND, To: id, Round: n.round,
		Index: prev, LogTerm: n.log.term(prev), Entries: entries, Commit: n.commit,
	})
	p.next += uint64(len(entries))
}

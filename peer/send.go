package peer

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"

	"leverdrum/meter"
	"leverdrum/wire"
)

// Send queues a consensus message for the box of its recipient. It drops the message if
// the queue is full.
func (p *Pool) Send(m *wire.Message) {
	select {
	case p.sendQueue(wire.BoxOf(m.To)) <- m:
	default:
	}
}

func (p *Pool) sendQueue(box string) chan *wire.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.sendQueues[box]
	if queue == nil {
		queue = make(chan *wire.Message, sendQueueLength)
		p.sendQueues[box] = queue
		p.wg.Go(func() { p.sendLoop(box, queue) })
	}
	return queue
}

// sendLoop writes the queued messages for one box to a stream and opens a new stream after
// a failure. Messages taken from the queue while no stream can be opened are lost.
func (p *Pool) sendLoop(box string, queue chan *wire.Message) {
	var stream *yamux.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-queue:
			stream = p.sendOn(box, stream, m)
		}
	}
}

func (p *Pool) sendOn(box string, stream *yamux.Stream, m *wire.Message) *yamux.Stream {
	if stream == nil {
		stream = p.openSendStream(box)
		if stream == nil {
			return nil
		}
	}
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(stream, m); err != nil {
		stream.Close()
		p.link(box).dropCurrent()
		return nil
	}
	p.meters.Count(meter.PeerCalls, "out").Inc()
	return stream
}

func (p *Pool) openSendStream(box string) *yamux.Stream {
	ctx, cancel := context.WithTimeout(p.ctx, handshakeTimeout)
	defer cancel()
	l := p.link(box)
	s, err := p.session(ctx, box, l)
	if err != nil {
		return nil
	}
	stream, err := s.OpenStream()
	if err != nil {
		l.drop(s)
		return nil
	}
	if err := writeFrame(stream, &wire.Request{Kind: &wire.Request_Consensus{Consensus: &wire.ConsensusStream{}}}); err != nil {
		stream.Close()
		return nil
	}
	return stream
}

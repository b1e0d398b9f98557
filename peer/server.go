package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

// Handler processes requests and messages from other boxes.
type Handler interface {
	// Answer returns the only response to a request. A nil response means that the kind of
	// request is unknown.
	Answer(ctx context.Context, from *wire.Member, r *wire.Request) *wire.Response
	// Receive processes a consensus message.
	Receive(m *wire.Message)
}

// Server accepts sessions from other boxes.
type Server struct {
	id       Identity
	tls      TLS
	handler  Handler
	meters   *meter.Meters
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Serve accepts connections on the listener until the server is closed.
func Serve(l net.Listener, id Identity, t TLS, h Handler, m *meter.Meters) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{id: id, tls: t, handler: h, meters: m, listener: l, ctx: ctx, cancel: cancel}
	s.wg.Go(s.accept)
	return s
}

// Close closes the listener and all sessions and waits for them to end.
func (s *Server) Close() {
	s.cancel()
	s.listener.Close()
	s.wg.Wait()
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) accept() {
	for s.ctx.Err() == nil {
		c, err := s.listener.Accept()
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.wg.Go(func() { s.session(c) })
	}
}

// session serves one connection until it is closed.
func (s *Server) session(raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(s.ctx, func() { raw.Close() })
	defer stop()
	c, err := s.handshakeTLS(&countedConn{raw, s.meters})
	if err != nil {
		s.meters.CountRefusal(reason.PeerTLS)
		return
	}
	reads := newPendingReads()
	y, err := yamux.Server(&readStoppingConn{&joinedConn{Conn: c}, reads}, sessionConfig())
	if err != nil {
		return
	}
	defer y.Close()
	defer reads.stop()
	from, err := s.exchangeHello(raw, c, y)
	if err != nil {
		return
	}
	s.serveStreams(from, y, reads)
}

func (s *Server) handshakeTLS(c net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	return startTLS(ctx, c, s.tls.Server(), true)
}

// exchangeHello reads the peer's Hello from the first stream and replies with this box's.
func (s *Server) exchangeHello(raw, c net.Conn, y *yamux.Session) (*wire.Member, error) {
	timer := time.AfterFunc(handshakeTimeout, func() { raw.Close() })
	defer timer.Stop()
	stream, err := y.AcceptStream()
	if err != nil {
		s.meters.CountRefusal(reason.PeerMalformed)
		return nil, Error.Wrap(err)
	}
	defer stream.Close()
	theirs := &wire.Hello{}
	if err := readSingleFrame(stream, maxHello, theirs); err != nil {
		s.meters.CountRefusal(reason.PeerMalformed)
		return nil, err
	}
	ours := hello(s.id)
	if r := checkHello(s.id, theirs, certifiedName(c)); r != nil {
		s.meters.CountRefusal(r)
		ours.Refusal = refusal(r)
		err := writeFrame(stream, ours)
		s.awaitClose(y)
		return nil, errors.Join(err, &RefusedError{r.Code, r.Title})
	}
	if err := adoptClusterID(s.id, theirs); err != nil {
		return nil, err
	}
	return theirs.Self, writeFrame(stream, ours)
}

// awaitClose waits until the peer closes the session. Closing it first could lose the
// refusal: the peer's yamux may see the end of the session before the write of its own
// Hello completes, and then reports only the end. If the peer does not close the session,
// the timer in exchangeHello does.
func (s *Server) awaitClose(y *yamux.Session) {
	select {
	case <-y.CloseChan():
	case <-s.ctx.Done():
	}
}

func (s *Server) serveStreams(from *wire.Member, y *yamux.Session, reads *pendingReads) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	for {
		stream, err := y.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.stream(ctx, from, stream, reads) })
	}
}

func (s *Server) stream(ctx context.Context, from *wire.Member, stream *yamux.Stream, reads *pendingReads) {
	defer stream.Close()
	r := acquireReader(reads.reader(stream))
	defer releaseReader(r)
	request := &wire.Request{}
	if err := readFrame(r, maxFrame, request); err != nil {
		s.meters.CountRefusal(reason.PeerMalformed)
		return
	}
	s.meters.Count(meter.PeerMessages, "in").Inc()
	if request.GetConsensus() != nil {
		s.consensus(from, r)
		return
	}
	if load := request.GetLoad(); load != nil {
		s.load(ctx, from, load.Kind, stream, r)
		return
	}
	if relay := request.GetRelay(); relay != nil {
		s.relay(ctx, from, relay, stream, r)
		return
	}
	response := s.handler.Answer(ctx, from, request)
	if response == nil {
		s.meters.CountRefusal(reason.PeerUnknownRequest)
		response = &wire.Response{Refusal: refusal(reason.PeerUnknownRequest)}
	}
	// A write error means that the peer disconnected; there is nothing left to do.
	_ = writeFrame(stream, response)
}

// consensus receives messages sent by the member that opened the session. A message from
// any other member ends the stream.
func (s *Server) consensus(from *wire.Member, r *bufio.Reader) {
	sender := from.Box + "/" + from.Incarnation
	for {
		m := &wire.Message{}
		if err := readFrame(r, maxFrame, m); err != nil {
			return
		}
		s.meters.Count(meter.PeerMessages, "in").Inc()
		if m.From != sender {
			s.meters.CountRefusal(reason.PeerMalformed)
			return
		}
		s.handler.Receive(m)
	}
}

// Package peer transports messages between the boxes of a cluster as protobuf frames on yamux
// streams over TCP or TLS.
//
// A box dials every box that it sends requests to and keeps the session; the dialed side only
// responds on it. A session starts with an exchange of Hellos, in which either side may refuse
// the other.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

// Version is the protocol version of this build.
const Version = 1

const (
	// maxFrame is the maximum frame size in bytes. The whole state at the size of the long-run
	// test takes less than 4 MiB.
	maxFrame = 32 << 20
	// maxHello is the maximum size of a Hello in bytes.
	maxHello = 64 << 10
	// handshakeTimeout bounds the TCP connect, TLS handshake and Hello exchange together.
	handshakeTimeout = 2 * time.Second
	// writeTimeout is how long a session may block without accepting a byte.
	writeTimeout = 3 * time.Second
	// keepAliveInterval is the time between two checks that a session still works.
	keepAliveInterval = 5 * time.Second
)

// UnresponsiveTimeout is how long a session with an outstanding request may receive no
// bytes. After that, a call that is canceled or times out also closes the session.
const UnresponsiveTimeout = time.Second

// Identity describes this box to its peers.
type Identity interface {
	// Self returns this box's member. Only its address fields may change.
	Self() *wire.Member
	// Cluster returns the cluster's name and ID. The ID is empty until the box belongs to a
	// formed cluster.
	Cluster() (name, id string)
	// Adopt sets the cluster ID reported by a peer of a formed cluster, if this box has none.
	Adopt(id string) error
	// Level returns the active level of the cluster, as far as this box knows.
	Level() level.Level
}

// TLS provides the configuration for a new connection, or nil for plaintext.
type TLS interface {
	Server() *tls.Config
	Client(box string) *tls.Config
}

// Plaintext is a TLS implementation that disables TLS.
type Plaintext struct{}

// Server returns nil, which disables TLS on accepted connections.
func (Plaintext) Server() *tls.Config { return nil }

// Client returns nil, which disables TLS on dialed connections.
func (Plaintext) Client(string) *tls.Config { return nil }

// RefusedError reports why a peer refused a session or a request.
type RefusedError struct{ Code, Text string }

// Error implements error.
func (e *RefusedError) Error() string { return e.Code + ": " + e.Text }

func refusal(r *reason.Reason) *wire.Refusal { return &wire.Refusal{Code: r.Code, Text: r.Title} }

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.ConnectionWriteTimeout = writeTimeout
	c.KeepAliveInterval = keepAliveInterval
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = writeTimeout
	return c
}

// countedConn adds the bytes of a connection to the metrics.
type countedConn struct {
	net.Conn
	meters *meter.Meters
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meters.Count(meter.PeerBytes, "in").Add(float64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meters.Count(meter.PeerBytes, "out").Add(float64(n))
	return n, err
}

func hello(id Identity) *wire.Hello {
	name, clusterID := id.Cluster()
	return &wire.Hello{Version: Version, Cluster: name, ClusterId: clusterID, Self: id.Self(), Level: uint32(id.Level())}
}

// checkHello returns the reason to refuse a peer, or nil to accept it.
func checkHello(id Identity, h *wire.Hello, certified string) *reason.Reason {
	name, clusterID := id.Cluster()
	switch {
	case h.Version != Version:
		return reason.PeerVersion
	case level.Level(h.Self.GetLevel()) < id.Level(), level.Level(h.Level) > level.Newest:
		return reason.PeerLevel
	case h.Cluster != name:
		return reason.PeerCluster
	case clusterID != "" && h.ClusterId != "" && clusterID != h.ClusterId:
		return reason.PeerCluster
	case h.Self.GetBox() == "" || h.Self.GetIncarnation() == "":
		return reason.PeerMalformed
	case h.Self.Box == id.Self().Box && h.Self.Incarnation != id.Self().Incarnation:
		return reason.PeerSelf
	case certified != "" && certified != h.Self.Box:
		return reason.PeerName
	}
	return nil
}

// certifiedName returns the common name in the peer's certificate, which is its box name,
// or "" for plaintext.
func certifiedName(c net.Conn) string {
	t, ok := c.(*tls.Conn)
	if !ok {
		return ""
	}
	certs := t.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

// startTLS performs the TLS handshake if TLS is enabled.
func startTLS(ctx context.Context, c net.Conn, config *tls.Config, server bool) (net.Conn, error) {
	if config == nil {
		return c, nil
	}
	t := tls.Client(c, config)
	if server {
		t = tls.Server(c, config)
	}
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, Error.Wrap(errors.Join(errTLS, err))
	}
	return t, nil
}

var errTLS = errors.New("TLS handshake failed")

func adoptClusterID(id Identity, h *wire.Hello) error {
	if _, own := id.Cluster(); own != "" || h.ClusterId == "" {
		return nil
	}
	return Error.Wrap(id.Adopt(h.ClusterId))
}

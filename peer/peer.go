// Package peer carries messages between the boxes of a cluster: protobuf frames
// on yamux streams over TCP or TLS.
//
// Each box dials the boxes that it asks something of and keeps that session;
// the other side only answers on it. A session begins with a Hello in each
// direction, in which either side may refuse the other.
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

// Version is the protocol that this build speaks.
const Version = 1

const (
	// maxFrame bounds a frame, in bytes; a whole state of the long-run size
	// takes under 4 MiB.
	maxFrame = 32 << 20
	// maxHello bounds a Hello, in bytes.
	maxHello = 64 << 10
	// handshakeTimeout bounds dialling, TLS and Hello together.
	handshakeTimeout = 2 * time.Second
	// writeTimeout is how long a session may not take a byte.
	writeTimeout = 3 * time.Second
	// keepAlive is the time between two looks whether a session still works.
	keepAlive = 5 * time.Second
)

// UnresponsiveTimeout is how long nothing may come back on a session that something was asked
// on, before a call that waited in vain ends it.
const UnresponsiveTimeout = time.Second

// Identity is who this box is to others.
type Identity interface {
	// Self returns the member; it may change its address fields only.
	Self() *wire.Member
	// Cluster returns the cluster's name and id; the id is "" while new.
	Cluster() (name, id string)
	// Adopt takes over the cluster id of a formed peer when this box has none.
	Adopt(id string) error
	// Level returns the level in force, as far as the box knows.
	Level() level.Level
}

// TLS gives the configuration for a new connection, nil for plain text.
type TLS interface {
	Server() *tls.Config
	Client(box string) *tls.Config
}

// Plaintext is TLS switched off.
type Plaintext struct{}

// Server returns nil.
func (Plaintext) Server() *tls.Config { return nil }

// Client returns nil.
func (Plaintext) Client(string) *tls.Config { return nil }

// RefusedError says why a peer turned this box away.
type RefusedError struct{ Code, Text string }

// Error returns code and text.
func (e *RefusedError) Error() string { return e.Code + ": " + e.Text }

func refusal(r *reason.Reason) *wire.Refusal { return &wire.Refusal{Code: r.Code, Text: r.Title} }

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.ConnectionWriteTimeout = writeTimeout
	c.KeepAliveInterval = keepAlive
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = writeTimeout
	return c
}

// countedConn counts the bytes of a connection.
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

// judge says why a peer is turned away, nil when it is welcome.
func judge(id Identity, h *wire.Hello, certified string) *reason.Reason {
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

// certifiedName returns the box name in the other side's certificate, "" in
// plain text.
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

// secure runs the TLS handshake, if TLS is on.
func secure(ctx context.Context, c net.Conn, config *tls.Config, server bool) (net.Conn, error) {
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

var errTLS = errors.New("the TLS handshake failed")

func adopt(id Identity, h *wire.Hello) error {
	if _, own := id.Cluster(); own != "" || h.ClusterId == "" {
		return nil
	}
	return Error.Wrap(id.Adopt(h.ClusterId))
}

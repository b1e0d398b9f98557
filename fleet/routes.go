package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteKind = "unsafe"
	// Streaming requests are answered by a series of events, and run at most once
	// unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// Route leads requests of one host and path to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Resumable streams may go on at another server.
	Resumable bool
	// Timeout bounds the time from a request's arrival to its end.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event, that callers want.
	LatencyTarget time.Duration
	// EventGapTarget is the longest time between two events that callers want, 0: any.
	EventGapTarget time.Duration
	// FirstEventTimeout is how long callers of a stream wait for its first event, 0: to their
	// deadline.
	FirstEventTimeout time.Duration
	// Rank is the urgency, 0 the highest.
	Rank int
	// MaxAttempts bounds the servers that one request is sent to.
	MaxAttempts int
	// Affinity keeps requests with the same prompt parts together.
	Affinity bool
	// Public routes need no key.
	Public bool
	// Regions are those in which its requests may be served, none: any.
	Regions []string
	Split   []Share
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Share is one pool's part of a route's requests.
type Share struct {
	Pool   string
	Weight int
}

// Pool is a service whose backend servers announce themselves.
type Pool struct {
	Name string
	// MaxConnections bounds the connections of all boxes to one server.
	MaxConnections int
	// Kind is what its servers are, nil for plain services.
	Kind *Kind
	// WarmUpRate is how many requests a second one of its servers takes while it warms up, 0: as many as ever.
	WarmUpRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeader, MaxBody         int64 // bytes; 0: the box's own
	HeaderTimeout, IdleTimeout time.Duration
}

// RouteTable finds the route of a request.
type RouteTable struct{ byHost map[string][]*Route }

// NewRouteTable orders routes by host and the length of their prefixes.
func NewRouteTable(list []*Route) *RouteTable {
	t := &RouteTable{map[string][]*Route{}}
	for _, r := range list {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the route of the host with the longest prefix that begins the
// path, nil when there is none. A port behind the host is passed over.
func (t *RouteTable) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MayRunOn reports whether a copy may stand on the server.
func (m *Model) MayRunOn(s *Server) bool { return m.Pool == s.Pool && m.MayRunIn(s.Hall) }

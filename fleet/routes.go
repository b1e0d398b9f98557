package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind determines which requests of a route may be retried.
type RouteKind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteKind = "unsafe"
	// Streaming requests receive a stream of events. They run at most once unless
	// the route is resumable.
	Streaming RouteKind = "streaming"
)

// Route maps requests with a host and path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Resumable reports whether a stream can resume at another server.
	Resumable bool
	// Timeout is the maximum time from a request's arrival to its end.
	Timeout time.Duration
	// LatencyTarget is the time to the response, or to the first event of a stream,
	// that callers expect.
	LatencyTarget time.Duration
	// EventGapTarget is the longest time between two events that callers expect; 0:
	// no target.
	EventGapTarget time.Duration
	// FirstEventTimeout is how long callers of a stream wait for its first event; 0:
	// until their deadline.
	FirstEventTimeout time.Duration
	// Rank is the urgency; 0 is the highest.
	Rank int
	// MaxAttempts is the maximum number of servers to which one request is sent.
	MaxAttempts int
	// Affinity routes requests with the same prompt parts to the same server.
	Affinity bool
	// Public routes need no key.
	Public bool
	// Regions are the regions in which its requests may be served; empty: any.
	Regions []string
	Split   []Share
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Share is the share of a route's requests that one pool receives.
type Share struct {
	Pool   string
	Weight int
}

// Pool is a service whose backend servers announce themselves.
type Pool struct {
	Name string
	// MaxConnections is the maximum number of connections of all boxes to one server.
	MaxConnections int
	// Kind is the kind of its servers, nil for plain services.
	Kind *Kind
	// WarmUpRate is the number of requests per second that a server accepts while it warms up; 0: no reduced rate.
	WarmUpRate float64
	// HealthCheckPath is the path of health checks at its servers; "": they have none.
	HealthCheckPath string

	sharesLoad bool
}

// SharesLoad reports whether boxes share the load of the pool's servers (package loadshare), see deriveSharedLoad.
func (p *Pool) SharesLoad() bool { return p.sharesLoad }

// Limits are the limits on callers' requests.
type Limits struct {
	MaxHeader, MaxBody         int64 // bytes; 0: the setting of the box
	HeaderTimeout, IdleTimeout time.Duration
}

// RouteTable finds the route of a request.
type RouteTable struct{ byHost map[string][]*Route }

// NewRouteTable indexes routes by host, with the longest prefixes first.
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

// Find returns the route of the host with the longest prefix of the path, or nil
// if there is none. It ignores a port in the host.
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

// MayRunOn reports whether a copy may be placed on the server.
func (m *Model) MayRunOn(s *Server) bool { return m.Pool == s.Pool && m.MayRunIn(s.Hall) }

// Package meter provides the metrics of a box. All metrics are defined in the table
// below, from which the documentation is generated.
package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"leverdrum/reason"
)

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric describes one metric.
type Metric struct {
	Name   string
	Kind   Kind
	Help   string
	Labels []string
}

// Metrics of a box.
var (
	Refusals           = Metric{"leverdrum_refusals_total", Counter, "Refusals by reason; see the table of reasons.", []string{"reason"}}
	Retries            = Metric{"leverdrum_retries_total", Counter, "Retried requests by reason.", []string{"reason"}}
	RetriesDenied      = Metric{"leverdrum_retries_denied_total", Counter, "Retries denied by the retry budget.", nil}
	Requests           = Metric{"leverdrum_requests_total", Counter, "Requests by class and outcome.", []string{"class", "outcome"}}
	RequestsInTime     = Metric{"leverdrum_requests_in_time_total", Counter, "Requests answered completely within the deadline of their class; for streams the first event counts.", []string{"class"}}
	RequestDuration    = Metric{"leverdrum_request_seconds", Histogram, "Time from arrival of the request to the end of the response.", []string{"class"}}
	RequestsInFlight   = Metric{"leverdrum_requests_in_flight", Gauge, "Requests in progress.", nil}
	StateIndex         = Metric{"leverdrum_state_index", Gauge, "Index of the replicated state applied by this box.", nil}
	FleetNumber        = Metric{"leverdrum_fleet_number", Gauge, "Number of the fleet file active on this box.", nil}
	IsLeader           = Metric{"leverdrum_leads", Gauge, "1 on the leader.", nil}
	Current            = Metric{"leverdrum_current", Gauge, "1 while the configuration of the box counts as current.", nil}
	Elections          = Metric{"leverdrum_leaderships_total", Counter, "Number of times that this box became leader.", nil}
	Orders             = Metric{"leverdrum_orders_total", Counter, "Orders to model servers by action and outcome.", []string{"action", "outcome"}}
	Ejections          = Metric{"leverdrum_ejections_total", Counter, "Number of times that a backend server was ejected because of failures.", nil}
	PeerBytes          = Metric{"leverdrum_peer_bytes_total", Counter, "Bytes between boxes, by direction.", []string{"direction"}}
	PeerMessages       = Metric{"leverdrum_peer_messages_total", Counter, "Messages between boxes, by direction.", []string{"direction"}}
	PeerAbandonedBytes = Metric{"leverdrum_peer_given_up_bytes_total", Counter, "Bytes received from other boxes for calls that were abandoned before their response was complete.", nil}
	CrashReports       = Metric{"leverdrum_crash_signs_total", Counter, "Requests of this box that a backend server was running when it terminated, by weight of this evidence.", []string{"weight"}}
	CrashExposures     = Metric{"leverdrum_crash_exposures_total", Counter, "Prompt parts of this box's requests at a terminated server with which others of its requests ran at other servers, and whether these refuted the evidence or it was kept.", []string{"result"}}
	CrashersBlocked    = Metric{"leverdrum_crashers_held", Gauge, "Requests blocked because backend servers terminated while running them.", nil}
	InvalidReports     = Metric{"leverdrum_strange_words_total", Counter, "Reports of backend servers or other senders that do not identify a usable server, by error.", []string{"why"}}
	BuildInfo          = Metric{"leverdrum_build_info", Gauge, "Always 1; the labels are the build of the box and the newest level that it supports.", []string{"build", "level"}}
	ActiveLevel        = Metric{"leverdrum_level", Gauge, "Active level as known to the box.", nil}
	WorkspaceRequests  = Metric{"leverdrum_workspace_requests_total", Counter, "Requests by workspace, and whether its quota permitted them or why not; beyond 1000 workspaces the rest are counted together.", []string{"workspace", "outcome"}}
	LimitedAttempts    = Metric{"leverdrum_limited_total", Counter, "Attempts to backend servers that report a limit, and whether the limit permitted them.", []string{"outcome"}}
	ServerLimits       = Metric{"leverdrum_server_limits", Gauge, "Backend servers with a committed limit.", nil}
	LateRequests       = Metric{"leverdrum_late_total", Counter, "Requests that were answered late, by cause (first-event: after the route's or class's latency target; gap: a gap between two events exceeded the route's target) and rank of urgency. A request that was late in both ways counts as first-event.", []string{"cause", "rank"}}
	LateWorkspaces     = Metric{"leverdrum_late_workspace_total", Counter, "Requests that were answered late, by workspace; beyond 64 workspaces the rest are counted together as other.", []string{"workspace"}}
	ServerSlowness     = Metric{"leverdrum_server_slowness", Gauge, "At hubs: how many times longer than the average server a backend server takes; of at most 2048 servers.", []string{"server"}}
	LoadFrames         = Metric{"leverdrum_load_frames_total", Counter, "Frames of the load exchange between boxes, by direction.", []string{"direction"}}
	LoadIgnored        = Metric{"leverdrum_load_ignored_total", Counter, "Rows, speeds, samples and uses of prefixes of the load exchange that were ignored, by reason.", []string{"why"}}
	LoadPrefixes       = Metric{"leverdrum_load_prefixes", Gauge, "At hubs: prefixes of prompts that are known to be cached, each counted once for each server.", nil}
	LoadHubs           = Metric{"leverdrum_load_hub_changes_total", Counter, "Number of times that this box began to exchange load with a hub.", nil}
	StartHolds         = Metric{"leverdrum_start_holds_total", Counter, "Requests that a box held after its start because it did not know yet that it was current, by outcome (released: it became current, expired: it did not in time, full: too many were held already). Expired and full are refused as not-current.", []string{"outcome"}}
	ServerLinks        = Metric{"leverdrum_server_links", Gauge, "1 while the box reaches backend servers, 0 while other boxes relay its requests.", nil}
	RelayedAttempts    = Metric{"leverdrum_relayed_total", Counter, "Attempts of this box that other boxes relayed, by result (answered, failed, no-box: none relays).", []string{"result"}}
	Connections        = Metric{"leverdrum_connections_total", Counter, "New connections of callers by what became of them: accepted, or refused because the box's link or processor is busy (link, processor).", []string{"result"}}
	RelaysServed       = Metric{"leverdrum_relays_served_total", Counter, "Attempts of other boxes that this box was asked to relay, by result (sent, declined).", []string{"result"}}
	StreamsResumed     = Metric{"leverdrum_streams_resumed_total", Counter, "Streams that continued at a server, by who resumed them (box: inside the response; caller: with another request) and whether the server has the software version of the one that began them (same, other).", []string{"by", "version"}}
	StreamOrigins      = Metric{"leverdrum_stream_origins_total", Counter, "Streams that callers resumed, by how the software version at which they began is known (source): from a record of the box or of another one (keeper), since the service had a single version, or unknown, which is rejected.", []string{"source"}}
	OriginsLost        = Metric{"leverdrum_stream_origins_lost_total", Counter, "Records of the software version at which a stream began that could not be delivered to a box that keeps them.", nil}
	Responses          = Metric{"leverdrum_responses_total", Counter, "Responses of backend servers by the attempt that they belong to (this; another: a surplus one; unidentified) and by what they prove about the attempt under way (run, not-run, nothing).", []string{"owner", "proof"}}
	ResponseEnds       = Metric{"leverdrum_response_ends_total", Counter, "Responses of backend servers by how they ended (complete; confirmed: with the connection, without a length or chunks, and the server went on; unknown: the same, and nothing shows that the server went on; truncated: a part is missing, or the server has ended).", []string{"end"}}
	ResponseEndWait    = Metric{"leverdrum_response_end_wait_seconds", Histogram, "How long the ends of responses without a length or chunks waited for evidence that their server went on, by what was found (answered: a health check; open: a connection; ended: the server has ended; none).", []string{"life"}}
	Interrupted        = Metric{"leverdrum_stop_interrupted_total", Counter, "Requests in flight at the end of a planned stop, by how they ended (answered: as unknown; broken: the response had begun; cut: without an answer, which is a fault).", []string{"end"}}
	Claims             = Metric{"leverdrum_claims_total", Counter, "Claims on keyed calls by verdict.", []string{"verdict"}}
)

// All returns the table.
func All() []Metric {
	return []Metric{
		Refusals, Retries, RetriesDenied, Requests, RequestsInTime, RequestDuration, RequestsInFlight, StateIndex, FleetNumber,
		IsLeader, Current, Elections, Orders, Ejections, PeerBytes, PeerMessages, PeerAbandonedBytes, CrashReports, CrashExposures, CrashersBlocked, InvalidReports, BuildInfo, ActiveLevel, WorkspaceRequests, LimitedAttempts, ServerLimits, LateRequests, LateWorkspaces, ServerSlowness, LoadFrames, LoadIgnored, LoadPrefixes, LoadHubs, StartHolds, ServerLinks, RelayedAttempts, RelaysServed, Connections, Responses, ResponseEnds, ResponseEndWait, StreamsResumed, StreamOrigins, OriginsLost, Interrupted, Claims,
	}
}

// Meters holds the registered metrics of one box.
type Meters struct {
	registry       *prometheus.Registry
	counters       map[string]*prometheus.CounterVec
	gauges         map[string]*prometheus.GaugeVec
	histograms     map[string]*prometheus.HistogramVec
	workspaceNames *names // of workspaces
	lateNames      *names // of workspaces whose requests were late
}

// durationBuckets are histogram bucket boundaries in seconds.
var durationBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// New registers all metrics and initializes the counter of each reason, so that it is exported from the start.
func New() *Meters {
	m := &Meters{
		registry: prometheus.NewRegistry(), counters: map[string]*prometheus.CounterVec{},
		gauges: map[string]*prometheus.GaugeVec{}, histograms: map[string]*prometheus.HistogramVec{},
		workspaceNames: newNames(maxNames, otherNames), lateNames: newNames(maxLateNames, otherLateNames),
	}
	for _, d := range All() {
		m.register(d)
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, r := range reason.All() {
		if r.Audience == reason.Retries {
			m.Count(Retries, r.Code).Add(0)
			continue
		}
		m.Count(Refusals, r.Code).Add(0)
	}
	return m
}

func (m *Meters) register(d Metric) {
	switch d.Kind {
	case Counter:
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.Name, Help: d.Help}, d.Labels)
		m.registry.MustRegister(v)
		m.counters[d.Name] = v
	case Gauge:
		v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: d.Name, Help: d.Help}, d.Labels)
		m.registry.MustRegister(v)
		m.gauges[d.Name] = v
	case Histogram:
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: d.Name, Help: d.Help, Buckets: durationBuckets}, d.Labels)
		m.registry.MustRegister(v)
		m.histograms[d.Name] = v
	}
}

// Count returns the counter of d with the given label values.
func (m *Meters) Count(d Metric, labels ...string) prometheus.Counter {
	return m.counters[d.Name].WithLabelValues(labels...)
}

// Gauge returns the gauge of d with the given label values.
func (m *Meters) Gauge(d Metric, labels ...string) prometheus.Gauge {
	return m.gauges[d.Name].WithLabelValues(labels...)
}

// Observer returns the histogram of d with the given label values.
func (m *Meters) Observer(d Metric, labels ...string) prometheus.Observer {
	return m.histograms[d.Name].WithLabelValues(labels...)
}

// CountRefusal counts a refusal.
func (m *Meters) CountRefusal(r *reason.Reason) { m.Count(Refusals, r.Code).Inc() }

// CountRetry counts a retry.
func (m *Meters) CountRetry(r *reason.Reason) { m.Count(Retries, r.Code).Inc() }

// Handler serves the metrics.
func (m *Meters) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Package meter holds the metrics of a box. The table below is the only place
// where a metric is defined; the docs are made from it.
package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"leverdrum/reason"
)

// Kind is a metric's kind.
type Kind string

// The kinds.
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

// The metrics.
var (
	Refusals           = Metric{"leverdrum_refusals_total", Counter, "Refusals by reason; see the table of reasons.", []string{"reason"}}
	Retries            = Metric{"leverdrum_retries_total", Counter, "Requests sent once more, by reason.", []string{"reason"}}
	RetriesDenied      = Metric{"leverdrum_retries_denied_total", Counter, "Retries that the budget did not allow.", nil}
	Requests           = Metric{"leverdrum_requests_total", Counter, "Requests by class and outcome.", []string{"class", "outcome"}}
	RequestsInTime     = Metric{"leverdrum_requests_in_time_total", Counter, "Requests answered whole within the deadline of their class, streams with their first event in time.", []string{"class"}}
	RequestDuration    = Metric{"leverdrum_request_seconds", Histogram, "Time from arrival to the end of the answer.", []string{"class"}}
	RequestsInFlight   = Metric{"leverdrum_requests_in_flight", Gauge, "Requests being served.", nil}
	StateIndex         = Metric{"leverdrum_state_index", Gauge, "Index of the agreed state in force on this box.", nil}
	FleetNumber        = Metric{"leverdrum_fleet_number", Gauge, "Number of the fleet file in force on this box.", nil}
	IsLeader           = Metric{"leverdrum_leads", Gauge, "1 on the box that leads.", nil}
	Current            = Metric{"leverdrum_current", Gauge, "1 while the box may act on its configuration.", nil}
	Elections          = Metric{"leverdrum_leaderships_total", Counter, "Times that this box became leader.", nil}
	Orders             = Metric{"leverdrum_orders_total", Counter, "Orders to model servers by action and outcome.", []string{"action", "outcome"}}
	Ejections          = Metric{"leverdrum_ejections_total", Counter, "Times that a backend server was taken out for failing.", nil}
	PeerBytes          = Metric{"leverdrum_peer_bytes_total", Counter, "Bytes between boxes, by direction.", []string{"direction"}}
	PeerMessages       = Metric{"leverdrum_peer_messages_total", Counter, "Messages between boxes, by direction.", []string{"direction"}}
	PeerAbandonedBytes = Metric{"leverdrum_peer_given_up_bytes_total", Counter, "Bytes that came from other boxes while their answers were waited for in vain.", nil}
	CrashReports       = Metric{"leverdrum_crash_signs_total", Counter, "Requests of this box that were at a backend server when it ended, by the weight of that sign.", []string{"weight"}}
	CrashersBlocked    = Metric{"leverdrum_crashers_held", Gauge, "Requests that are kept from backend servers, because these ended while they ran them.", nil}
	InvalidReports     = Metric{"leverdrum_strange_words_total", Counter, "Words of backend servers, or of other writers, that name no server to use, by what is wrong with them.", []string{"why"}}
	BuildInfo          = Metric{"leverdrum_build_info", Gauge, "1, with the build that the box runs and the newest level that it knows.", []string{"build", "level"}}
	ActiveLevel        = Metric{"leverdrum_level", Gauge, "The level in force, as far as the box knows.", nil}
	WorkspaceRequests  = Metric{"leverdrum_workspace_requests_total", Counter, "Requests by workspace, and whether its quota bore them or why not; beyond a thousand workspaces the rest together.", []string{"workspace", "outcome"}}
	LimitedAttempts    = Metric{"leverdrum_limited_total", Counter, "Sendings to backend servers that name a limit, and whether it bore them.", []string{"outcome"}}
	ServerLimits       = Metric{"leverdrum_server_limits", Gauge, "Backend servers whose limits are agreed.", nil}
	Claims             = Metric{"leverdrum_claims_total", Counter, "Claims on keyed calls by verdict.", []string{"verdict"}}
)

// All returns the table.
func All() []Metric {
	return []Metric{
		Refusals, Retries, RetriesDenied, Requests, RequestsInTime, RequestDuration, RequestsInFlight, StateIndex, FleetNumber,
		IsLeader, Current, Elections, Orders, Ejections, PeerBytes, PeerMessages, PeerAbandonedBytes, CrashReports, CrashersBlocked, InvalidReports, BuildInfo, ActiveLevel, WorkspaceRequests, LimitedAttempts, ServerLimits, Claims,
	}
}

// Meters are the metrics of one box.
type Meters struct {
	registry   *prometheus.Registry
	counters   map[string]*prometheus.CounterVec
	gauges     map[string]*prometheus.GaugeVec
	histograms map[string]*prometheus.HistogramVec
	named      *names // of workspaces
}

// durationBuckets are in seconds.
var durationBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// New registers all metrics, and shows each reason's counter from the start.
func New() *Meters {
	m := &Meters{
		registry: prometheus.NewRegistry(), counters: map[string]*prometheus.CounterVec{},
		gauges: map[string]*prometheus.GaugeVec{}, histograms: map[string]*prometheus.HistogramVec{},
		named: newNames(namesMost),
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

// Count returns a counter.
func (m *Meters) Count(d Metric, labels ...string) prometheus.Counter {
	return m.counters[d.Name].WithLabelValues(labels...)
}

// Gauge returns a gauge.
func (m *Meters) Gauge(d Metric, labels ...string) prometheus.Gauge {
	return m.gauges[d.Name].WithLabelValues(labels...)
}

// Observer returns a histogram's observer.
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

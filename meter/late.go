package meter

import "strconv"

// Causes of late requests.
const (
	// LateFirstEvent: the first event came after the latency target.
	LateFirstEvent = "first-event"
	// LateGap: a gap between two events exceeded the gap target.
	LateGap = "gap"
)

// CountLate counts a request that was answered late; workspace is "" for none.
func (m *Meters) CountLate(cause string, rank int, workspace string) {
	m.Count(LateRequests, cause, strconv.Itoa(rank)).Inc()
	if workspace != "" {
		m.Count(LateWorkspaces, m.lateNames.resolve(workspace)).Inc()
	}
}

// SetServerSlowness sets the slowness of a server. The caller bounds the number of servers.
func (m *Meters) SetServerSlowness(server string, slowness float64) {
	m.Gauge(ServerSlowness, server).Set(slowness)
}

// RemoveServerSlowness removes the slowness of a server that is no longer known.
func (m *Meters) RemoveServerSlowness(server string) {
	m.gauges[ServerSlowness.Name].DeleteLabelValues(server)
}

package admin

import (
	"fmt"
	"time"
)

// explainServer describes the status that a backend server reported in its responses, and whether this box sends it no
// requests because of that. It returns nil if the server reported nothing.
func (a *Admin) explainServer(server string) (lines []string) {
	for _, row := range a.opts.Pushback.Statuses() {
		if row.Server == server {
			lines = append(lines, row.Lines()...)
		}
	}
	limit := a.opts.Pushback.Limit(server)
	if limit == 0 {
		return lines
	}
	lines = append(lines, fmt.Sprintf("limits all boxes together to %.3g requests per second, according to its responses", limit.PerSecond()))
	if replicated := a.opts.View().Limits[server]; replicated != nil {
		lines = append(lines, fmt.Sprintf("limit replicated since %s", time.UnixMilli(replicated.UnixMs).UTC().Format(time.RFC3339)))
	}
	const mostUrgent = 0
	if block, blocked := a.opts.Pushback.Blocked(server, mostUrgent); blocked {
		lines = append(lines, fmt.Sprintf("%s: this box sends it no requests, not even the most urgent ones, for another %v", block.Reason.Code, block.RetryAfter.Round(time.Millisecond)))
	}
	return lines
}

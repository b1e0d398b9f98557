package admin

import (
	"fmt"
	"time"
)

// explainServer says what a backend server said of itself in its answers, and whether requests of this box are kept from
// it for that; nil where it said nothing.
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
	lines = append(lines, fmt.Sprintf("takes %.3g requests a second from all boxes together, by its own answers", limit.PerSecond()))
	if agreed := a.opts.View().Limits[server]; agreed != nil {
		lines = append(lines, fmt.Sprintf("agreed since %s", time.UnixMilli(agreed.UnixMs).UTC().Format(time.RFC3339)))
	}
	const mostUrgent = 0
	if block, blocked := a.opts.Pushback.Blocked(server, mostUrgent); blocked {
		lines = append(lines, fmt.Sprintf("%s: this box sends it no request, not even the most urgent, for %v yet", block.Reason.Code, block.RetryAfter.Round(time.Millisecond)))
	}
	return lines
}

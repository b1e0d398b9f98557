package admin

import (
	"fmt"
	"time"
)

// explainLimit says what a backend server takes, and whether requests of this box are kept from it for that; nil where
// it names no limit.
func (a *Admin) explainLimit(server string) []string {
	limit := a.opts.Throttle.Limit(server)
	if limit == 0 {
		return nil
	}
	lines := []string{fmt.Sprintf("takes %.3g requests a second from all boxes together, by its own answers", limit.PerSecond())}
	if agreed := a.opts.View().Limits[server]; agreed != nil {
		lines = append(lines, fmt.Sprintf("agreed since %s", time.UnixMilli(agreed.UnixMs).UTC().Format(time.RFC3339)))
	}
	const mostUrgent = 0
	if after, full := a.opts.Throttle.Full(server, mostUrgent); full {
		lines = append(lines, fmt.Sprintf("used up: this box sends it no request, not even the most urgent, for %v yet", after.Round(time.Millisecond)))
	}
	return lines
}

package fleet

import "github.com/VictoriaMetrics/metrics"

// DropCounters counts dropped packets and reset flows by reason. Reasons are constant texts, so
// that the number of label values is bounded.
type DropCounters struct{ Set *metrics.Set }

// CountDrop counts a packet that was not sent on.
func (c DropCounters) CountDrop(reason string) {
	c.Set.GetOrCreateCounter(`lacewing_packets_dropped_total{reason="` + reason + `"}`).Inc()
}

// CountReset counts a flow that was reset.
func (c DropCounters) CountReset(reason string) {
	c.Set.GetOrCreateCounter(`lacewing_flows_reset_total{reason="` + reason + `"}`).Inc()
}

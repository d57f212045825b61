package fleet

import "github.com/VictoriaMetrics/metrics"

// DropCounters counts what ends at a node, by reason. Reasons are fixed texts of the programs.
type DropCounters struct{ Set *metrics.Set }

// CountDrop counts a packet that went nowhere.
func (e DropCounters) CountDrop(reason string) {
	e.Set.GetOrCreateCounter(`lacewing_packets_dropped_total{reason="` + reason + `"}`).Inc()
}

// CountReset counts a flow that was reset.
func (e DropCounters) CountReset(reason string) {
	e.Set.GetOrCreateCounter(`lacewing_flows_reset_total{reason="` + reason + `"}`).Inc()
}

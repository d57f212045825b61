package fleet

import "github.com/VictoriaMetrics/metrics"

// Endings counts what ends at a node, by reason. Reasons are fixed texts of the programs.
type Endings struct{ Set *metrics.Set }

// Dropped counts a packet that went nowhere.
func (e Endings) Dropped(reason string) {
	e.Set.GetOrCreateCounter(`lacewing_packets_dropped_total{reason="` + reason + `"}`).Inc()
}

// Reset counts a flow that was reset.
func (e Endings) Reset(reason string) {
	e.Set.GetOrCreateCounter(`lacewing_flows_reset_total{reason="` + reason + `"}`).Inc()
}

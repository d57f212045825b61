package fleet

import "github.com/VictoriaMetrics/metrics"

// Endings counts dropped packets and reset flows by reason. Reasons are constant texts, so that the
// number of label values is bounded.
type Endings struct{ Set *metrics.Set }

// Dropped counts a packet that was not sent on.
func (e Endings) Dropped(reason string) {
	e.Set.GetOrCreateCounter(`lacewing_packets_dropped_total{reason="` + reason + `"}`).Inc()
}

// Reset counts a flow that was reset.
func (e Endings) Reset(reason string) {
	e.Set.GetOrCreateCounter(`lacewing_flows_reset_total{reason="` + reason + `"}`).Inc()
}

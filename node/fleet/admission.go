package fleet

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"lacewinglever.dev/policy/admission"
	"lacewinglever.dev/policy/holding"
)

// AdmissionMetrics counts the decisions about new flows by priority. Priorities are the operator's, so
// that the number of label values is bounded by the routes in force.
type AdmissionMetrics struct {
	Set     *metrics.Set
	Waiting func() map[holding.Rank]int // numbers of waiting flows by rank
}

// CountRefused counts a flow that was refused.
func (m AdmissionMetrics) CountRefused(reason string, priority int) {
	m.Set.GetOrCreateCounter(`lacewing_flows_refused_total{reason="` + reason + `",priority="` +
		strconv.Itoa(priority) + `"}`).Inc()
}

// ExportWaiting exports the number of waiting flows of a priority from now on.
func (m AdmissionMetrics) ExportWaiting(in *admission.Input) {
	if !in.Competes() {
		return
	}
	priority := in.Priority
	m.Set.GetOrCreateGauge(`lacewing_flows_waiting{priority="`+strconv.Itoa(priority)+`"}`, func() float64 {
		n := 0
		for rank, count := range m.Waiting() {
			if rank.Priority == priority {
				n += count
			}
		}
		return float64(n)
	})
}

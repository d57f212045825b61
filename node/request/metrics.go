package request

import (
	"github.com/VictoriaMetrics/metrics"

	"lacewinglever.dev/policy/request"
)

// counters are the metrics of a Server.
type counters struct {
	datagramsDropped *metrics.Counter
	requests         *metrics.Counter
	retries          *metrics.Counter
	lateAnswers      *metrics.Counter
	outcomes         map[request.Outcome]*metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		datagramsDropped: set.NewCounter("lacewing_request_datagrams_dropped_total"),
		requests:         set.NewCounter("lacewing_requests_total"),
		retries:          set.NewCounter("lacewing_request_retries_total"),
		lateAnswers:      set.NewCounter("lacewing_request_late_answers_total"),
		outcomes:         map[request.Outcome]*metrics.Counter{},
	}
	for _, o := range []request.Outcome{request.Answered, request.NotRun, request.Unknown} {
		c.outcomes[o] = set.NewCounter(`lacewing_request_outcomes_total{outcome="` + o.String() + `"}`)
	}
	return c
}

package load

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxEvents bounds the number of faults that a report describes individually.
const maxEvents = 50

// Report is the result of a load.
type Report struct {
	Seconds  float64         `json:"seconds"`
	Stalls   int             `json:"stalls"` // pauses of the load program itself that were too long to detect silence
	Feeds    []FeedReport    `json:"feeds"`
	Requests []RequestReport `json:"requests"`
}

// FeedReport is the result for the feeds of one service.
type FeedReport struct {
	Service        string         `json:"service"`
	Wanted         int            `json:"wanted"`
	Open           int            `json:"open"`   // answered at least once and not ended
	Opened         int            `json:"opened"` // answered at least once
	Unopened       int            `json:"unopened"`
	Unanswered     int            `json:"unanswered"` // feeds without a datagram in their first 2 s, ended ones included
	Broken         int            `json:"broken"`     // feeds that moved or fell silent, each counted once
	Moved          int            `json:"moved"`
	Silent         int            `json:"silent"`
	BrokenByTarget map[string]int `json:"broken_by_target"` // broken feeds by the target that served them before
	Misrouted      int            `json:"misrouted"`        // datagrams for another service, flow or caller
	Malformed      int            `json:"malformed"`
	Late           int            `json:"late"` // datagrams for feeds that have ended
	Calls          int            `json:"calls"`
	Answers        int            `json:"answers"`
	Readings       int            `json:"readings"`
	Gaps           int            `json:"gaps"` // missing readings
	Latency        Latency        `json:"latency"`
	Pool           PoolReport     `json:"pool"`
	Events         []string       `json:"events,omitempty"`
}

// RequestReport is the result for the requests to one service.
type RequestReport struct {
	Service            string     `json:"service"`
	Started            int        `json:"started"`
	Answered           int        `json:"answered"`
	NotRun             int        `json:"not_run"`
	Unknown            int        `json:"unknown"`
	Unsent             int        `json:"unsent"`  // no connection could be opened
	Skipped            int        `json:"skipped"` // not sent, because too many requests were in flight
	Pending            int        `json:"pending"`
	Retries            int        `json:"retries"`
	PermitsRequired    int        `json:"permits_required"`
	ErrorStatuses      int        `json:"errors"` // answered with a status other than 200
	WrongAnswers       int        `json:"wrong"`  // complete answers that do not belong to the run
	Truncated          int        `json:"cut"`    // truncated answers that the caller can detect as such
	Misrouted          int        `json:"misrouted"`
	RanTwice           int        `json:"doubled"` // requests with a permit that ran more than once
	RunAfterNotRun     int        `json:"run_after_not_run"`
	AnsweredWithoutRun int        `json:"answered_without_run"` // counted at the end, and only if all run logs were read
	UnreadLogs         int        `json:"unread_logs"`          // run logs that could not be read completely
	Latency            Latency    `json:"latency"`              // from the intended start to the complete answer
	Pool               PoolReport `json:"pool"`
	Events             []string   `json:"events,omitempty"`
}

// PoolReport is the distribution of the load over a pool. An imbalance is the largest value of a
// target divided by the mean.
type PoolReport struct {
	Targets             int                `json:"targets"`
	Connections         map[string]float64 `json:"connections"` // open flows by target, as counted by the target
	ConnectionImbalance float64            `json:"connection_imbalance"`
	NewFlows            map[string]float64 `json:"new_flows"` // since the last mark
	NewFlowImbalance    float64            `json:"new_flow_imbalance"`
	BusySeconds         map[string]float64 `json:"busy_seconds"` // slot-seconds since the last mark
	BusyImbalance       float64            `json:"busy_imbalance"`
	Samples             []Sample           `json:"samples"`
}

// Sample has the imbalances of the window that ends at a time.
type Sample struct {
	Second      float64 `json:"second"` // since the start of the load
	Connections float64 `json:"connections"`
	NewFlows    float64 `json:"new_flows"`
	Busy        float64 `json:"busy"`
}

// Latency is a latency distribution in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

const maxLatencyUs = 120_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, 3) }

func newLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// Violations lists the violations of the guarantees that hold under any failure, a line per service
// and kind with the count. Broken feeds are not included, because the crash of a target breaks its
// own feeds.
func (r *Report) Violations() []string {
	var violations []string
	add := func(service, what string, n int) {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d %s", service, n, what))
		}
	}
	for _, f := range r.Feeds {
		add(f.Service, "misrouted datagrams", f.Misrouted)
	}
	for _, q := range r.Requests {
		add(q.Service, "misrouted answers", q.Misrouted)
		add(q.Service, "wrong answers", q.WrongAnswers)
		add(q.Service, "doubled runs", q.RanTwice)
		add(q.Service, "runs after not-run", q.RunAfterNotRun)
		add(q.Service, "answered requests without a run", q.AnsweredWithoutRun)
	}
	return violations
}

// Table writes the report as a table for people.
func (r *Report) Table(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { fmt.Fprintf(t, format+"\t\n", args...) }
	if len(r.Feeds) > 0 {
		row("feeds\topened\tunanswered\tbroken\tmoved\tsilent\tmisrouted\tgaps\tp50 ms\tp99 ms\tconnections max/mean\tnew max/mean")
	}
	for _, f := range r.Feeds {
		row("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.3f", f.Service, f.Opened, f.Unanswered, f.Broken,
			f.Moved, f.Silent, f.Misrouted, f.Gaps, ms(f.Latency.P50), ms(f.Latency.P99),
			f.Pool.ConnectionImbalance, f.Pool.NewFlowImbalance)
	}
	_ = t.Flush()
	if len(r.Requests) > 0 {
		row("requests\tstarted\tanswered\tnot run\tunknown\tunsent\twrong\tcut\tmisrouted\tdoubled\tafter not-run\tp50 ms\tp99 ms\tbusy max/mean")
	}
	for _, q := range r.Requests {
		row("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f", q.Service, q.Started, q.Answered, q.NotRun,
			q.Unknown, q.Unsent, q.WrongAnswers, q.Truncated, q.Misrouted, q.RanTwice, q.RunAfterNotRun,
			ms(q.Latency.P50), ms(q.Latency.P99), q.Pool.BusyImbalance)
	}
	_ = t.Flush()
}

func ms(us int64) float64 { return float64(us) / 1000 }

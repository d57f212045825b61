package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"lacewinglever.dev/bench/cli"
)

// settleTime is the time from the end of the load until the run logs are read, so that they contain
// the attempts in progress.
const settleTime = 500 * time.Millisecond

// Load is a load on a number of services.
type Load struct {
	config   Config
	start    time.Time
	feeds    []*feedLoad
	requests []*requestLoad
	cancel   context.CancelFunc
}

// New returns a load that is not started.
func New(config Config) (*Load, error) {
	l := &Load{config: config, start: time.Now()}
	for i, c := range config.Feeds {
		g, err := newFeedLoad(c, config.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		l.feeds = append(l.feeds, g)
	}
	for i, c := range config.Requests {
		l.requests = append(l.requests, newRequestLoad(c, config.Seed+uint64(len(l.feeds)+i)))
	}
	return l, nil
}

// Run sends until the duration is over, the context ends or POST /stop is received, and returns the
// report.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	ctx, l.cancel = context.WithTimeout(ctx, l.config.Duration)
	defer l.cancel()
	if l.config.Admin != "" {
		if _, err := cli.Serve(context.WithoutCancel(ctx), l.config.Admin, l.handler()); err != nil {
			return nil, err
		}
	}
	l.start = time.Now()
	var running sync.WaitGroup
	var feedReports []FeedReport
	for _, g := range l.feeds {
		g.start = l.start
		running.Go(func() { g.run(ctx) })
	}
	for _, g := range l.requests {
		g.start = l.start
		running.Go(func() { g.send(ctx) })
	}
	<-ctx.Done()
	// The feed reports are taken when sending ends, before the targets expire the feeds.
	for _, g := range l.feeds {
		feedReports = append(feedReports, g.currentReport())
	}
	running.Wait()
	time.Sleep(settleTime)
	for _, g := range l.requests {
		g.pool.sample(context.WithoutCancel(ctx))
		g.mu.Lock()
		g.finished = true
		g.mu.Unlock()
	}
	report := l.Report()
	report.Feeds = feedReports
	return report, nil
}

// Report returns the current report.
func (l *Load) Report() *Report {
	r := &Report{Seconds: time.Since(l.start).Seconds()}
	for _, g := range l.feeds {
		r.Feeds = append(r.Feeds, g.currentReport())
		g.mu.Lock()
		r.Stalls += g.stalls
		g.mu.Unlock()
	}
	for _, g := range l.requests {
		r.Requests = append(r.Requests, g.currentReport())
	}
	return r
}

// handler serves GET /healthz, GET /report, POST /mark and POST /stop.
func (l *Load) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /report",
		func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(l.Report()) })
	mux.HandleFunc("POST /mark", func(_ http.ResponseWriter, r *http.Request) {
		for _, g := range l.feeds {
			g.pool.setMark(r.Context())
		}
		for _, g := range l.requests {
			g.pool.setMark(r.Context())
		}
	})
	mux.HandleFunc("POST /stop", func(http.ResponseWriter, *http.Request) { l.cancel() })
	return mux
}

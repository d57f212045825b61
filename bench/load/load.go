package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"lacewinglever.dev/bench/program"
)

// settle is how long the load waits after its end before it reads the run logs, so that attempts that are under way are in.
const settle = 500 * time.Millisecond

// Load is a running load.
type Load struct {
	config   Config
	start    time.Time
	feeds    []*feeds
	requests []*requests
	cancel   context.CancelFunc
}

// New prepares a load.
func New(config Config) (*Load, error) {
	l := &Load{config: config, start: time.Now()}
	for i, c := range config.Feeds {
		g, err := newFeeds(c, config.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		l.feeds = append(l.feeds, g)
	}
	for i, c := range config.Requests {
		l.requests = append(l.requests, newRequests(c, config.Seed+uint64(len(l.feeds)+i)))
	}
	return l, nil
}

// Run sends until the duration is over, the context ends or the admin endpoint is told to stop, and returns the report.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	ctx, l.cancel = context.WithTimeout(ctx, l.config.Duration)
	defer l.cancel()
	if l.config.Admin != "" {
		if _, err := program.Serve(context.WithoutCancel(ctx), l.config.Admin, l.handler()); err != nil {
			return nil, err
		}
	}
	l.start = time.Now()
	var wait sync.WaitGroup
	var last []FeedReport
	for _, g := range l.feeds {
		g.start = l.start
		wait.Go(func() { g.run(ctx) })
	}
	for _, g := range l.requests {
		g.start = l.start
		wait.Go(func() { g.send(ctx) })
	}
	<-ctx.Done()
	// Feeds are judged at the end of the sending, before the targets let them go.
	for _, g := range l.feeds {
		last = append(last, g.result())
	}
	wait.Wait()
	time.Sleep(settle)
	for _, g := range l.requests {
		g.pool.sample(context.WithoutCancel(ctx))
		g.mu.Lock()
		g.final = true
		g.mu.Unlock()
	}
	report := l.Report()
	report.Feeds = last
	return report, nil
}

// Report returns what was found so far.
func (l *Load) Report() *Report {
	r := &Report{Seconds: time.Since(l.start).Seconds()}
	for _, g := range l.feeds {
		r.Feeds = append(r.Feeds, g.result())
		g.mu.Lock()
		r.Stalls += g.stalls
		g.mu.Unlock()
	}
	for _, g := range l.requests {
		r.Requests = append(r.Requests, g.result())
	}
	return r
}

// handler serves GET /healthz, GET /report, POST /mark and POST /stop.
func (l *Load) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(l.Report()) })
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

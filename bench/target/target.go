package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/bench/cli"
)

// Target is a simulated target.
type Target struct {
	config   Config
	logger   log.Logger
	flows    *flows
	requests *requests
	started  time.Time

	mu          sync.RWMutex
	currentMode Mode
	warmUpStart time.Time
}

// New prepares a target.
func New(config Config, logger log.Logger) *Target {
	t := &Target{config: config, logger: logger, currentMode: config.Mode, started: time.Now(), warmUpStart: time.Now()}
	t.flows = &flows{target: t}
	t.requests = newRequests(t)
	return t
}

// Run serves until the context ends.
func (t *Target) Run(ctx context.Context) error {
	if err := t.start(ctx); err != nil {
		return err
	}
	_ = level.Info(t.logger).Log("msg", "target is running", "service", t.config.Service)
	<-ctx.Done()
	return nil
}

func (t *Target) start(ctx context.Context) error {
	if err := t.flows.start(ctx); err != nil {
		return err
	}
	_, err := cli.Serve(ctx, t.config.HTTP, t.handler())
	return err
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	for _, pattern := range []string{"GET /report", "GET /certificate", "POST /setpoint", "POST /booking"} {
		mux.HandleFunc(pattern, t.requests.serve)
	}
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.load()) })
	mux.HandleFunc("GET /healthz", t.health)
	mux.HandleFunc("GET /runs", t.requests.writeRunLog)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.stats()) })
	mux.HandleFunc("GET /admin/mode", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.mode()) })
	mux.HandleFunc("POST /admin/mode", t.postMode)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func unixMs(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func (t *Target) mode() Mode {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.currentMode
}

// postMode changes the fields of the mode that are in the JSON body.
func (t *Target) postMode(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.currentMode
	if err := cli.ReadJSON(r, &next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if next.ColdFor != t.currentMode.ColdFor || next.ColdSlow != t.currentMode.ColdSlow {
		t.warmUpStart = time.Now()
	}
	t.currentMode = next
	_ = level.Info(t.logger).Log("msg", "mode changed", "mode", fmt.Sprintf("%+v", next))
}

// warmUpDelay returns the time by which the warm-up extends a run. It falls linearly.
func (t *Target) warmUpDelay(mode Mode) time.Duration {
	t.mu.RLock()
	age := time.Since(t.warmUpStart)
	t.mu.RUnlock()
	if age >= mode.ColdFor {
		return 0
	}
	return time.Duration(float64(mode.ColdSlow) * (1 - float64(age)/float64(mode.ColdFor)))
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	mode := t.mode()
	if mode.Drain && !mode.Mislead {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (t *Target) load() Load {
	mode, stats := t.mode(), t.stats()
	if mode.Mislead {
		return Load{Ready: true, Slots: t.config.Slots}
	}
	return Load{
		Ready: !mode.Drain, Draining: mode.Drain, Shedding: mode.Shed,
		Connections: stats.Flows, Busy: stats.Busy, Slots: t.config.Slots,
	}
}

func (t *Target) stats() Stats {
	s := Stats{Target: t.config.Name, Service: t.config.Service}
	t.requests.stats(&s)
	t.flows.mu.Lock()
	defer t.flows.mu.Unlock()
	s.Flows, s.FlowsOpened, s.LastFlowUnixMs = t.flows.count, t.flows.opened, unixMs(t.flows.lastOpened)
	s.Calls, s.WrongService, s.Malformed = t.flows.calls, t.flows.wrongService, t.flows.malformed
	return s
}

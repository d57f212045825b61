package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxLoggedRuns      = 500_000
	defaultAnswerBytes = 200 // of an answer without a size in the request
)

// Run is one execution of a request, as GET /runs returns it.
type Run struct {
	ID          string `json:"id"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Target      string `json:"target"`
	StartUnixMs int64  `json:"start_unix_ms"`
	EndUnixMs   int64  `json:"end_unix_ms"` // 0 while it runs
	Interrupted bool   `json:"interrupted"` // the client disconnected before the end
}

// Stats is what GET /stats returns: the true figures, whatever the mode reports.
type Stats struct {
	Target         string  `json:"target"`
	Service        string  `json:"service"`
	Flows          int     `json:"flows"`
	FlowsOpened    uint64  `json:"flows_opened"`
	Calls          uint64  `json:"calls"`
	WrongService   uint64  `json:"foreign"`
	Malformed      uint64  `json:"malformed"`
	Busy           int     `json:"busy"`
	Waiting        int     `json:"waiting"`
	Slots          int     `json:"slots"`
	BusySeconds    float64 `json:"busy_seconds"` // busy slots integrated over the time since the start
	Runs           int     `json:"runs"`
	RunsNotLogged  int     `json:"runs_dropped"` // missing in the run log, because it is full
	Refused        uint64  `json:"refused"`
	LastFlowUnixMs int64   `json:"last_flow_unix_ms"` // when the newest flow was opened
	LastRunUnixMs  int64   `json:"last_run_unix_ms"`  // when the newest run started
}

// Load is what GET /load returns.
type Load struct {
	Ready       bool `json:"ready"`
	Draining    bool `json:"draining"`
	Shedding    bool `json:"shedding"`
	Connections int  `json:"connections"`
	Busy        int  `json:"busy"`
	Slots       int  `json:"slots"`
}

// requests runs the requests on the target's slots.
type requests struct {
	target *Target
	slots  chan struct{} // holds one element per busy slot

	mu            sync.Mutex
	runs          []Run
	runsNotLogged int
	waiting       int
	busy          int
	busySeconds   float64
	busySince     time.Time // when busy last changed
	refused       uint64
	lastStart     time.Time
}

func newRequests(t *Target) *requests {
	return &requests{target: t, slots: make(chan struct{}, max(1, t.config.Slots)), busySince: time.Now()}
}

// serve runs one request and answers it.
func (q *requests) serve(w http.ResponseWriter, r *http.Request) {
	if !q.acquireSlot(r.Context()) {
		w.Header().Set(HeaderNotRun, "1")
		http.Error(w, "refused, not run", http.StatusServiceUnavailable)
		return
	}
	index := q.recordStart(r)
	finished := q.spendServiceTime(r.Context())
	q.recordEnd(index, finished)
	if finished {
		q.writeAnswer(w, r)
	}
}

// acquireSlot waits for a slot. It returns false if the request is refused; the request has not run
// then and will not.
func (q *requests) acquireSlot(ctx context.Context) bool {
	q.mu.Lock()
	if q.target.mode().Shed || q.waiting >= q.target.config.QueueLimit+q.target.config.Slots {
		q.refused++
		q.mu.Unlock()
		return false
	}
	q.waiting++
	q.mu.Unlock()
	ok := false
	select {
	case q.slots <- struct{}{}:
		ok = true
	case <-ctx.Done():
	}
	q.mu.Lock()
	q.waiting--
	q.mu.Unlock()
	return ok
}

// recordStart adds the run to the log before any of it has happened, so that no run is missing. It
// returns the run's index in the log, -1 if the log is full.
func (q *requests) recordStart(r *http.Request) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addBusy(1)
	q.lastStart = time.Now()
	if len(q.runs) >= maxLoggedRuns {
		q.runsNotLogged++
		return -1
	}
	q.runs = append(q.runs, Run{
		ID: r.Header.Get(HeaderRunID), Method: r.Method, Path: r.URL.Path, Target: q.target.config.Name,
		StartUnixMs: q.lastStart.UnixMilli(),
	})
	return len(q.runs) - 1
}

func (q *requests) recordEnd(index int, finished bool) {
	<-q.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addBusy(-1)
	if index >= 0 {
		q.runs[index].EndUnixMs = time.Now().UnixMilli()
		q.runs[index].Interrupted = !finished
	}
}

// addBusy adds to the number of busy slots. q.mu must be held.
func (q *requests) addBusy(change int) {
	now := time.Now()
	q.busySeconds += float64(q.busy) * now.Sub(q.busySince).Seconds()
	q.busySince = now
	q.busy += change
}

// spendServiceTime waits for the service time. It returns false if the client disconnected.
func (q *requests) spendServiceTime(ctx context.Context) bool {
	mode := q.target.mode()
	timer := time.NewTimer(q.target.config.ServiceTime + mode.Slow + q.target.warmUpDelay(mode))
	defer timer.Stop()
	if mode.Hang {
		timer.Stop()
	}
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (q *requests) writeAnswer(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get(QuerySize))
	if err != nil {
		size = defaultAnswerBytes
	}
	run := r.Header.Get(HeaderRunID)
	body := AnswerBody(q.target.config.Name, q.target.config.Service, run, min(size, MaxAnswerBytes))
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRunID, run)
	h.Set(HeaderTargetName, q.target.config.Name)
	h.Set(HeaderChecksum, Checksum(body))
	if !q.target.mode().Cut {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// writeRunLog writes the run log as JSON lines, without the runs that the query parameter from
// skips.
func (q *requests) writeRunLog(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get(QueryFrom))
	q.mu.Lock()
	from = min(max(0, from), len(q.runs))
	runs := append([]Run(nil), q.runs[from:]...)
	q.mu.Unlock()
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set(HeaderLogStart, strconv.FormatInt(q.target.started.UnixNano(), 10))
	encoder := json.NewEncoder(w)
	for i := range runs {
		_ = encoder.Encode(&runs[i])
	}
}

func (q *requests) stats(s *Stats) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addBusy(0)
	s.Busy, s.Waiting, s.Slots, s.BusySeconds = q.busy, q.waiting, q.target.config.Slots, q.busySeconds
	s.Runs, s.RunsNotLogged, s.Refused = len(q.runs)+q.runsNotLogged, q.runsNotLogged, q.refused
	s.LastRunUnixMs = unixMs(q.lastStart)
}

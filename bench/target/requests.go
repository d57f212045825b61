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
	maxRuns     = 500_000
	defaultSize = 200 // bytes of an answer
)

// Run is one execution of a request, as GET /runs returns it.
type Run struct {
	ID          string `json:"id"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Target      string `json:"target"`
	StartUnixMs int64  `json:"start_unix_ms"`
	EndUnixMs   int64  `json:"end_unix_ms"` // 0 while it runs
	Interrupted bool   `json:"interrupted"` // the client went away before the end
}

// Stats is what GET /stats returns: true figures, whatever the mode says.
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
	BusySeconds    float64 `json:"busy_seconds"` // slot-seconds since the start
	Runs           int     `json:"runs"`
	RunsNotLogged  int     `json:"runs_dropped"` // not in the log, because it is full
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
	t     *Target
	slots chan struct{} // holds an element per busy slot

	mu          sync.Mutex
	runs        []Run
	runsDropped int
	waiting     int
	busy        int
	busySeconds float64
	busySince   time.Time // when busy last changed
	refused     uint64
	lastRun     time.Time
}

func newRequests(t *Target) *requests {
	return &requests{t: t, slots: make(chan struct{}, max(1, t.config.Slots)), busySince: time.Now()}
}

// serve runs one request and answers it.
func (q *requests) serve(w http.ResponseWriter, r *http.Request) {
	if !q.enter(r.Context()) {
		w.Header().Set(HeaderNotRun, "1")
		http.Error(w, "refused, not run", http.StatusServiceUnavailable)
		return
	}
	index := q.begin(r)
	finished := q.work(r.Context())
	q.end(index, finished)
	if finished {
		q.answer(w, r)
	}
}

// enter takes a slot. It returns false if the request is refused; then it has not run and will not.
func (q *requests) enter(ctx context.Context) bool {
	q.mu.Lock()
	if q.t.mode().Shed || q.waiting >= q.t.config.QueueLimit+q.t.config.Slots {
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

// begin notes the run before any of it has happened, so that no run is missing from the log.
func (q *requests) begin(r *http.Request) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count(1)
	q.lastRun = time.Now()
	if len(q.runs) >= maxRuns {
		q.runsDropped++
		return -1
	}
	q.runs = append(q.runs, Run{
		ID: r.Header.Get(HeaderRunID), Method: r.Method, Path: r.URL.Path, Target: q.t.config.Name,
		StartUnixMs: q.lastRun.UnixMilli(),
	})
	return len(q.runs) - 1
}

func (q *requests) end(index int, finished bool) {
	<-q.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count(-1)
	if index >= 0 {
		q.runs[index].EndUnixMs = time.Now().UnixMilli()
		q.runs[index].Interrupted = !finished
	}
}

// count adds to the busy slots. The lock is held.
func (q *requests) count(change int) {
	now := time.Now()
	q.busySeconds += float64(q.busy) * now.Sub(q.busySince).Seconds()
	q.busySince = now
	q.busy += change
}

// work takes the service time. It returns false if the client went away.
func (q *requests) work(ctx context.Context) bool {
	mode := q.t.mode()
	timer := time.NewTimer(q.t.config.ServiceTime + mode.Slow + q.t.coldness(mode))
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

func (q *requests) answer(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get(QuerySize))
	if err != nil {
		size = defaultSize
	}
	run := r.Header.Get(HeaderRunID)
	body := AnswerBody(q.t.config.Name, q.t.config.Service, run, min(size, MaxAnswerBytes))
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRunID, run)
	h.Set(HeaderTargetName, q.t.config.Name)
	h.Set(HeaderChecksum, Checksum(body))
	if !q.t.mode().Cut {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// list writes the run log as JSON lines, without the runs before the one numbered by the query's from.
func (q *requests) list(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get(QueryFrom))
	q.mu.Lock()
	from = min(max(0, from), len(q.runs))
	runs := append([]Run(nil), q.runs[from:]...)
	q.mu.Unlock()
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set(HeaderLogStart, strconv.FormatInt(q.t.started.UnixNano(), 10))
	encoder := json.NewEncoder(w)
	for i := range runs {
		_ = encoder.Encode(&runs[i])
	}
}

func (q *requests) stats(s *Stats) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count(0)
	s.Busy, s.Waiting, s.Slots, s.BusySeconds = q.busy, q.waiting, q.t.config.Slots, q.busySeconds
	s.Runs, s.RunsNotLogged, s.Refused = len(q.runs)+q.runsDropped, q.runsDropped, q.refused
	s.LastRunUnixMs = unixMs(q.lastRun)
}

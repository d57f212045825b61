package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewinglever.dev/node/objectapi"
)

// FaultsPath is the path at which faults are read (GET) and replaced (PUT or POST) as JSON. Faults
// and rate limits do not apply to it.
const FaultsPath = "/admin/faults"

// maxWait limits the duration of a long poll.
const maxWait = time.Minute

// Server serves the object API from a Store.
type Server struct {
	store   *Store
	writes  *tokenBucket
	reads   *tokenBucket
	metrics *metrics.Set
	mux     *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed when the faults change
}

// NewServer returns a server with an empty store.
func NewServer(l Limits) *Server {
	s := &Server{
		store:   NewStore(),
		writes:  newTokenBucket(l.Writes),
		reads:   newTokenBucket(l.Reads),
		metrics: metrics.NewSet(),
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET "+objectapi.ObjectsPath+"/", s.withFaults("get", s.reads, s.get))
	s.mux.HandleFunc("PUT "+objectapi.ObjectsPath+"/", s.withFaults("put", s.writes, s.write))
	s.mux.HandleFunc("DELETE "+objectapi.ObjectsPath+"/", s.withFaults("delete", s.writes, s.write))
	s.mux.HandleFunc("GET "+objectapi.ListPath, s.withFaults("list", s.reads, s.list))
	s.mux.HandleFunc("GET "+objectapi.WatchPath, s.withFaults("watch", s.reads, s.watch))
	s.mux.HandleFunc(FaultsPath, s.serveFaults)
	s.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.metrics.WritePrometheus(w) })
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Store returns the server's store.
func (s *Server) Store() *Store { return s.store }

// SetFaults replaces the faults. They apply to watches in progress too.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the faults and a channel that is closed when they change.
func (s *Server) Faults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		var f Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			writeError(w, http.StatusBadRequest, objectapi.ErrorBody{Message: err.Error()})
			return
		}
		s.SetFaults(f)
	}
	f, _ := s.Faults()
	writeJSON(w, http.StatusOK, f)
}

// withFaults returns a handler that counts a call, applies the delay, the outage and the rate
// limit, and then calls next.
func (s *Server) withFaults(op string, b *tokenBucket, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.metrics.GetOrCreateCounter(`standin_platform_calls_total{op="` + op + `"}`).Inc()
		f, _ := s.Faults()
		if !sleep(r.Context(), milliseconds(f.DelayMs)) {
			return
		}
		if f, _ = s.Faults(); f.Outage {
			writeUnavailable(w)
			return
		}
		if !b.allow() {
			s.metrics.GetOrCreateCounter(`standin_platform_limited_total{op="` + op + `"}`).Inc()
			writeError(w, http.StatusTooManyRequests, objectapi.ErrorBody{Message: "rate limited"})
			return
		}
		next(w, r)
	}
}

func objectPath(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, objectapi.ObjectsPath) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	f, _ := s.Faults()
	o := s.store.Get(objectPath(r), milliseconds(f.StaleReadsMs))
	if o.Version == 0 || o.Deleted {
		writeError(w, http.StatusNotFound, newErrorBody("not found", o))
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(cmp.Or(query.Get("limit"), "0"))
	if err != nil || limit < 0 {
		writeError(w, http.StatusBadRequest, objectapi.ErrorBody{Message: "want limit=<objects>"})
		return
	}
	f, _ := s.Faults()
	writeJSON(w, http.StatusOK,
		s.store.List(query.Get("prefix"), query.Get("after"), limit, milliseconds(f.StaleReadsMs)))
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	write := Write{
		Path:    objectPath(r),
		Delete:  r.Method == http.MethodDelete,
		Writer:  r.Header.Get(objectapi.HeaderWriter),
		WriteID: r.Header.Get(objectapi.HeaderWriteID),
	}
	if !parseCondition(&write, r) {
		writeError(w, http.StatusBadRequest, objectapi.ErrorBody{Message: "want If-Match: <version> or If-None-Match: *"})
		return
	}
	if !write.Delete {
		body, err := io.ReadAll(io.LimitReader(r.Body, objectapi.MaxValueSize+1))
		if err != nil {
			return
		}
		if len(body) > objectapi.MaxValueSize {
			writeError(w, http.StatusRequestEntityTooLarge, objectapi.ErrorBody{Message: "value too large"})
			return
		}
		if !json.Valid(body) {
			writeError(w, http.StatusBadRequest, objectapi.ErrorBody{Message: "the value is not JSON"})
			return
		}
		write.Value = body
	}
	current, ok := s.store.Apply(write)
	if ok && s.drawResponseLoss() {
		s.metrics.GetOrCreateCounter(`standin_platform_answers_lost_total`).Inc()
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	switch {
	case ok:
		writeJSON(w, http.StatusOK, objectapi.Object{Path: current.Path, Version: current.Version})
	case write.Delete && current.Version == 0:
		writeError(w, http.StatusNotFound, newErrorBody("not found", current))
	default:
		writeError(w, http.StatusConflict, newErrorBody("conflict", current))
	}
}

// parseCondition sets the write's condition from the request's headers. It returns false if they
// are missing or invalid. A delete requires a version.
func parseCondition(write *Write, r *http.Request) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !write.Delete
	}
	v, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	write.IfVersion = v
	return err == nil && v > 0
}

// drawResponseLoss draws whether the response to a write is lost, and counts down
// LoseNextResponses.
func (s *Server) drawResponseLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNextResponses > 0 {
		s.faults.LoseNextResponses--
		return true
	}
	return rand.Float64() < s.faults.ResponseLoss
}

// watch responds as soon as an object under the prefix has changed after the version since. After
// the wait it responds with an empty listing, whose version is the one up to which nothing changed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	seconds, waitErr := strconv.ParseFloat(query.Get("wait"), 64)
	if err != nil || waitErr != nil || seconds < 0 {
		writeError(w, http.StatusBadRequest, objectapi.ErrorBody{Message: "want since=<version>&wait=<seconds>"})
		return
	}
	deadline := time.NewTimer(min(time.Duration(seconds*float64(time.Second)), maxWait))
	defer deadline.Stop()
	for {
		f, faultsChanged := s.Faults()
		if f.Outage {
			writeUnavailable(w)
			return
		}
		age := milliseconds(f.StaleWatchMs)
		changes, written := s.store.Changes(query.Get("prefix"), since, age)
		if len(changes.Objects) > 0 {
			writeJSON(w, http.StatusOK, changes)
			return
		}
		// With a delay, a write becomes visible only after it, when no channel is closed.
		var recheck <-chan time.Time
		if age > 0 {
			recheck = time.After(min(age, 50*time.Millisecond))
		}
		select {
		case <-written:
		case <-recheck:
		case <-faultsChanged:
		case <-deadline.C:
			writeJSON(w, http.StatusOK, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func newErrorBody(message string, o objectapi.Object) objectapi.ErrorBody {
	return objectapi.ErrorBody{
		Message: message, Version: o.Version, Writer: o.Writer, WriteID: o.WriteID, Deleted: o.Deleted,
	}
}

func writeUnavailable(w http.ResponseWriter) {
	writeError(w, http.StatusServiceUnavailable, objectapi.ErrorBody{Message: "unavailable"})
}

func writeError(w http.ResponseWriter, status int, body objectapi.ErrorBody) {
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

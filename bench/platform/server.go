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

// FaultsPath is where faults are read (GET) and replaced (PUT or POST), as JSON. Faults do not apply to it.
const FaultsPath = "/admin/faults"

// maxWait bounds a long poll.
const maxWait = time.Minute

// Server answers the object API from a Store.
type Server struct {
	store   *Store
	writes  *bucket
	reads   *bucket
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
		writes:  newBucket(l.Writes),
		reads:   newBucket(l.Reads),
		metrics: metrics.NewSet(),
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET "+objectapi.ObjectsPath+"/", s.call("get", s.reads, s.get))
	s.mux.HandleFunc("PUT "+objectapi.ObjectsPath+"/", s.call("put", s.writes, s.write))
	s.mux.HandleFunc("DELETE "+objectapi.ObjectsPath+"/", s.call("delete", s.writes, s.write))
	s.mux.HandleFunc("GET "+objectapi.ListPath, s.call("list", s.reads, s.list))
	s.mux.HandleFunc("GET "+objectapi.WatchPath, s.call("watch", s.reads, s.watch))
	s.mux.HandleFunc(FaultsPath, s.admin)
	s.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.metrics.WritePrometheus(w) })
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	return s
}

// ServeHTTP answers a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Store returns the server's store.
func (s *Server) Store() *Store { return s.store }

// SetFaults replaces the faults.
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

func (s *Server) admin(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		var f Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			fail(w, http.StatusBadRequest, objectapi.ErrorBody{Message: err.Error()})
			return
		}
		s.SetFaults(f)
	}
	f, _ := s.Faults()
	reply(w, http.StatusOK, f)
}

// call counts a call, applies the faults that concern every call and the rate limit.
func (s *Server) call(op string, b *bucket, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.metrics.GetOrCreateCounter(`standin_platform_calls_total{op="` + op + `"}`).Inc()
		f, _ := s.Faults()
		if !pause(r.Context(), milliseconds(f.DelayMs)) {
			return
		}
		if f, _ = s.Faults(); f.Outage {
			unavailable(w)
			return
		}
		if !b.take() {
			s.metrics.GetOrCreateCounter(`standin_platform_limited_total{op="` + op + `"}`).Inc()
			fail(w, http.StatusTooManyRequests, objectapi.ErrorBody{Message: "rate limited"})
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
		fail(w, http.StatusNotFound, errorBody("not found", o))
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(cmp.Or(query.Get("limit"), "0"))
	if err != nil || limit < 0 {
		fail(w, http.StatusBadRequest, objectapi.ErrorBody{Message: "want limit=<objects>"})
		return
	}
	f, _ := s.Faults()
	reply(w, http.StatusOK, s.store.List(query.Get("prefix"), query.Get("after"), limit, milliseconds(f.StaleReadsMs)))
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	write := Write{
		Path:    objectPath(r),
		Delete:  r.Method == http.MethodDelete,
		Writer:  r.Header.Get(objectapi.HeaderWriter),
		WriteID: r.Header.Get(objectapi.HeaderWriteID),
	}
	if !condition(&write, r) {
		fail(w, http.StatusBadRequest, objectapi.ErrorBody{Message: "want If-Match: <version> or If-None-Match: *"})
		return
	}
	if !write.Delete {
		body, err := io.ReadAll(io.LimitReader(r.Body, objectapi.MaxValueSize+1))
		if err != nil {
			return
		}
		if len(body) > objectapi.MaxValueSize {
			fail(w, http.StatusRequestEntityTooLarge, objectapi.ErrorBody{Message: "value too large"})
			return
		}
		if !json.Valid(body) {
			fail(w, http.StatusBadRequest, objectapi.ErrorBody{Message: "the value is not JSON"})
			return
		}
		write.Value = body
	}
	current, ok := s.store.Apply(write)
	if ok && s.losesAnswer() {
		s.metrics.GetOrCreateCounter(`standin_platform_answers_lost_total`).Inc()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	switch {
	case ok:
		reply(w, http.StatusOK, objectapi.Object{Path: current.Path, Version: current.Version})
	case write.Delete && current.Version == 0:
		fail(w, http.StatusNotFound, errorBody("not found", current))
	default:
		fail(w, http.StatusConflict, errorBody("conflict", current))
	}
}

func condition(write *Write, r *http.Request) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !write.Delete
	}
	v, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	write.IfVersion = v
	return err == nil && v > 0
}

func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return rand.Float64() < s.faults.LoseAnswers
}

// watch answers when something changed under the prefix, or after the wait with the version up to which nothing did.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	seconds, waitErr := strconv.ParseFloat(query.Get("wait"), 64)
	if err != nil || waitErr != nil || seconds < 0 {
		fail(w, http.StatusBadRequest, objectapi.ErrorBody{Message: "want since=<version>&wait=<seconds>"})
		return
	}
	deadline := time.NewTimer(min(time.Duration(seconds*float64(time.Second)), maxWait))
	defer deadline.Stop()
	for {
		f, faultsChanged := s.Faults()
		if f.Outage {
			unavailable(w)
			return
		}
		age := milliseconds(f.StaleWatchMs)
		changes, written := s.store.Changes(query.Get("prefix"), since, age)
		if len(changes.Objects) > 0 {
			reply(w, http.StatusOK, changes)
			return
		}
		var aged <-chan time.Time
		if age > 0 {
			aged = time.After(min(age, 50*time.Millisecond))
		}
		select {
		case <-written:
		case <-aged:
		case <-faultsChanged:
		case <-deadline.C:
			reply(w, http.StatusOK, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
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

func errorBody(message string, o objectapi.Object) objectapi.ErrorBody {
	return objectapi.ErrorBody{Message: message, Version: o.Version, Writer: o.Writer, WriteID: o.WriteID, Deleted: o.Deleted}
}

func unavailable(w http.ResponseWriter) {
	fail(w, http.StatusServiceUnavailable, objectapi.ErrorBody{Message: "unavailable"})
}

func fail(w http.ResponseWriter, status int, body objectapi.ErrorBody) { reply(w, status, body) }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

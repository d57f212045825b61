package fabric

import (
	"encoding/json"
	"io"
	"net/http"

	"lacewinglever.dev/bench/cli"
	"lacewinglever.dev/policy/yamlfile"
)

// State is the response body of GET /state. Durations are in nanoseconds.
type State struct {
	Services []Service         `json:"services"`
	Links    []Link            `json:"links"` // one per direction
	Callers  int               `json:"callers"`
	Counters map[string]uint64 `json:"counters"`
}

// handler serves GET /healthz, GET /state, POST /link (body: a Link), POST /entries (body: a
// Service without address) and POST /break (body: a Link of which only the endpoints and one_way
// are used).
func (f *Fabric) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f.state())
	})
	mux.HandleFunc("POST /link", f.postLink)
	mux.HandleFunc("POST /entries", f.postEntries)
	mux.HandleFunc("POST /break", f.postBreak)
	return mux
}

func (f *Fabric) postLink(w http.ResponseWriter, r *http.Request) {
	var l Link
	faults := &yamlfile.Faults{File: "body"}
	err := cli.ReadJSON(r, &l)
	if err == nil {
		l.check(faults, "$")
		err = faults.Err()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.links.set(l)
}

func (f *Fabric) postEntries(w http.ResponseWriter, r *http.Request) {
	var s Service
	err := cli.ReadJSON(r, &s)
	if err == nil {
		err = f.setEntries(s.Name, s.Entries)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (f *Fabric) state() State {
	s := State{Links: f.links.list(), Counters: f.snapshot()}
	f.callers.mu.RLock()
	s.Callers = len(f.callers.byAddress)
	f.callers.mu.RUnlock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, configured := range f.config.Services {
		configured.Entries = nil
		if known := f.services[configured.Name]; known != nil {
			for _, e := range *known.entries.Load() {
				configured.Entries = append(configured.Entries, e.String())
			}
		}
		s.Services = append(s.Services, configured)
	}
	return s
}

func (f *Fabric) snapshot() map[string]uint64 {
	c := &f.Counters
	return map[string]uint64{
		"from_callers": c.FromCallers.Load(), "to_callers": c.ToCallers.Load(), "between_nodes": c.BetweenNodes.Load(),
		"lost": c.DroppedByLoss.Load(), "cut": c.DroppedByCut.Load(), "duplicated": c.Duplicated.Load(),
		"queue_full": c.QueueFull.Load(), "send_failed": c.SendFailed.Load(),
		"no_entry": c.NoEntry.Load(), "too_many_callers": c.TooManyCallers.Load(),
		"unknown_caller": c.UnknownCaller.Load(), "unknown_entry": c.UnknownEntry.Load(),
		"connections": c.Connections.Load(),
	}
}

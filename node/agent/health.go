package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Limits of polling the target.
const (
	pollInterval = 250 * time.Millisecond
	pollTimeout  = time.Second
	maxLoadBody  = 4 << 10
	// failuresToDown is the number of failed polls in a row that mark a target as down, so that a
	// single lost answer does not restart the warm-up of a warm target.
	failuresToDown    = 3
	fullyWarmPerMille = 1000
)

// targetLoad is the answer to GET /load.
type targetLoad struct {
	Ready       bool   `json:"ready"`
	Draining    bool   `json:"draining"`
	Shedding    bool   `json:"shedding"`
	Connections uint32 `json:"connections"`
	Busy        uint32 `json:"busy"`
	Slots       uint32 `json:"slots"`
}

// health polls the target's load endpoint and tracks its warm-up.
type health struct {
	url    string
	client *http.Client

	mu       sync.Mutex
	load     targetLoad
	up       bool
	upSince  time.Time
	failures int
}

// newHealth polls the target at url. With an empty url the target counts as ready and warm.
func newHealth(url string) *health {
	h := &health{url: url, client: &http.Client{Timeout: pollTimeout}}
	if url == "" {
		h.up = true
		h.load.Ready = true
	}
	return h
}

func (h *health) run(ctx context.Context) {
	if h.url == "" {
		return
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		load, err := h.fetch(ctx)
		h.recordPoll(time.Now(), load, err)
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

func (h *health) fetch(ctx context.Context) (targetLoad, error) {
	var load targetLoad
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+"/load", nil)
	if err != nil {
		return load, errors.Wrap(err, "target url")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return load, errors.Wrap(err, "get load of target")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("get load of target: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBody)).Decode(&load); err != nil {
		return load, errors.Wrap(err, "load of target")
	}
	return load, nil
}

// recordPoll records the result of one poll. A target that reports that it is not ready is marked
// down at once. A target that comes up starts its warm-up.
func (h *health) recordPoll(now time.Time, load targetLoad, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || !load.Ready {
		h.failures++
		if h.failures >= failuresToDown || err == nil {
			h.up = false
		}
		return
	}
	h.failures = 0
	h.load = load
	if !h.up {
		h.up = true
		h.upSince = now
	}
}

// snapshot returns the newest load and the progress of the warm-up. The progress is zero for a
// target that is down or draining, so that it gets no new flows or requests.
func (h *health) snapshot(now time.Time, warmUp time.Duration) (load targetLoad, warmPerMille uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up || h.load.Draining {
		return h.load, 0
	}
	// A poll may have set upSince after the caller read the clock.
	age := max(now.Sub(h.upSince), 0)
	if h.upSince.IsZero() || age >= warmUp {
		return h.load, fullyWarmPerMille
	}
	return h.load, uint32(fullyWarmPerMille * age / warmUp)
}

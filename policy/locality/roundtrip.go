package locality

import (
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
)

const (
	// samplesPerRoundTrip is the number of measurements of which the median counts. A heartbeat that
	// was sent on its own while an answer was awaited is taken for the answer; with one every 200 ms, some
	// 5 % of the measurements are too low for that reason.
	samplesPerRoundTrip = 5
	// roundTripInterval is the interval of measurements, firstRoundTripInterval that until there are
	// samplesPerRoundTrip. Links between data centres change rarely.
	roundTripInterval      = 10 * time.Second
	firstRoundTripInterval = time.Second
	// maxRoundTrip is the longest round trip that is credible: a later answer was delayed by its sender.
	maxRoundTrip = 500 * time.Millisecond
)

// RoundTrips measures the round trips between this node's data centre and others. The zero value is ready
// for use. Its methods are safe for concurrent use.
type RoundTrips struct {
	mu      sync.Mutex
	centres map[ident.DataCentre]*roundTrip
}

type roundTrip struct {
	samples []time.Duration // the latest, at most samplesPerRoundTrip
	probed  ident.NodeID    // node that was asked last, 0 once it has answered
	at      time.Duration   // when it was asked
}

// Due reports whether a node of a data centre is to be asked for an answer now.
func (r *RoundTrips) Due(now time.Duration, dc ident.DataCentre) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.centres[dc]
	return t == nil || now-t.at >= firstRoundTripInterval && len(t.samples) < samplesPerRoundTrip ||
		now-t.at >= roundTripInterval
}

// RecordProbe records that a node is asked for an answer.
func (r *RoundTrips) RecordProbe(now time.Duration, dc ident.DataCentre, id ident.NodeID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.centres == nil {
		r.centres = map[ident.DataCentre]*roundTrip{}
	}
	t := r.centres[dc]
	if t == nil {
		t = &roundTrip{}
		r.centres[dc] = t
	}
	t.probed, t.at = id, now
}

// RecordMessage records a message of a node, which is the answer if the node was asked for one.
func (r *RoundTrips) RecordMessage(now time.Duration, dc ident.DataCentre, id ident.NodeID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.centres[dc]
	if t == nil || t.probed != id {
		return
	}
	t.probed = 0
	if now-t.at > maxRoundTrip {
		return
	}
	if t.samples = append(t.samples, now-t.at); len(t.samples) > samplesPerRoundTrip {
		t.samples = slices.Delete(t.samples, 0, 1)
	}
}

// RoundTrip returns the round trip to a data centre, DefaultRoundTrip if it was never measured.
func (r *RoundTrips) RoundTrip(dc ident.DataCentre) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.centres[dc]
	if t == nil || len(t.samples) == 0 {
		return DefaultRoundTrip
	}
	sorted := slices.Sorted(slices.Values(t.samples))
	return sorted[len(sorted)/2]
}

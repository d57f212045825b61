// Package inflight follows the flows that pass an agent, and derives the load of its target from their packets: open flows, and requests in
// progress. It needs no report of the target.
package inflight

import (
	"math"
	"sync"
	"time"

	"lacewinglever.dev/policy/steering"
)

// smoothing is the time constant of the number of requests in progress: a few requests long, so that a burst shows in the next heartbeat.
const smoothing = 100 * time.Millisecond

// judgedOver is the time constant of the share of requests that the target broke off, and of the rate of requests. A target that is avoided for its
// failures is tried again after about twice this time.
const judgedOver = 2 * time.Second

// trusted is the number of requests that a target is taken to have answered before, so that a single failure says little.
const trusted = 4

// busyAtMost is how long a request counts as in progress. One that takes longer has most likely lost its caller or its answer, and a target that
// seemed busy for ever would get no new flows.
const busyAtMost = 2 * time.Second

// opensWithin is how long an opening packet that was passed to the target counts as a request to come. The caller's request follows after a round trip
// of some 20 ms, or never, if the caller has given up.
const opensWithin = 60 * time.Millisecond

// Event is what one packet says of its flow.
type Event struct {
	Data     bool   // carries bytes of the connection
	Sequence uint32 // of the first of them
	Finishes bool
	Resets   bool
}

type flow struct {
	last     time.Duration
	since    time.Duration // when the request in progress arrived
	sequence uint32        // of the newest bytes of the caller
	waiting  bool          // the caller has sent bytes that the target has not answered
	finished bool          // one end has finished
}

// decayed is a sum of events that loses weight with time.
type decayed struct {
	sum float64
	at  time.Duration
}

func (d *decayed) value(now time.Duration) float64 {
	if now <= d.at {
		return d.sum
	}
	return d.sum * math.Exp(-float64(now-d.at)/float64(judgedOver))
}

func (d *decayed) add(now time.Duration) { d.sum, d.at = d.value(now)+1, max(now, d.at) }

// Load is what a table says of its target at one moment.
type Load struct {
	Flows   int
	Busy    float64 // requests in progress, smoothed
	Rate    float64 // requests a second
	Failing float64 // share of the requests that the target broke off, 0 to 1
}

// MeanRequestTime returns the mean time of a request, 0 if there was none.
func (l Load) MeanRequestTime() time.Duration { return steering.RequestTime(l.Busy, l.Rate) }

// Table holds the flows of one target. Its methods may be called from any goroutine.
type Table struct {
	mu      sync.Mutex
	flows   map[steering.Flow]*flow
	opening map[steering.Flow]time.Duration // opening packets without a request so far, by the time of the first
	busy    int
	smooth  float64
	updated time.Duration
	started decayed // requests
	ended   decayed // requests that were answered or broken off
	broken  decayed // requests that were broken off
}

// New returns an empty table.
func New() *Table {
	return &Table{flows: map[steering.Flow]*flow{}, opening: map[steering.Flow]time.Duration{}}
}

// RecordOpening notes an opening packet that was passed to the target.
func (t *Table) RecordOpening(now time.Duration, id steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.opening[id]; !ok && t.flows[id] == nil {
		t.opening[id] = now
	}
}

// Outstanding returns the requests in progress at this moment and those that flows which are opening will bring.
func (t *Table) Outstanding(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, at := range t.opening {
		if now-at > opensWithin {
			delete(t.opening, id)
		}
	}
	return t.busy + len(t.opening)
}

// advance brings the smoothed number of requests up to now.
func (t *Table) advance(now time.Duration) {
	if d := now - t.updated; d > 0 {
		keep := float64(smoothing) / float64(smoothing+d)
		t.smooth = t.smooth*keep + float64(t.busy)*(1-keep)
		t.updated = now
	}
}

// RecordDelivered notes a caller's packet that was passed to the target.
func (t *Table) RecordDelivered(now time.Duration, id steering.Flow, e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.touch(now, id, e)
	if f == nil {
		return
	}
	if e.Resets {
		t.remove(id, f)
		return
	}
	if e.Data && (f.sequence == 0 || int32(e.Sequence-f.sequence) > 0) { // else it is sent again
		f.sequence = e.Sequence
		if !f.waiting {
			f.waiting, f.since = true, now
			t.busy++
			t.started.add(now)
		}
	}
	t.finish(id, f, e)
}

// RecordSent notes a packet of the target.
func (t *Table) RecordSent(now time.Duration, id steering.Flow, e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.touch(now, id, e)
	if f == nil {
		return
	}
	if f.waiting && (e.Data || e.Resets) {
		t.ended.add(now)
		if e.Resets {
			t.broken.add(now)
		}
	}
	if e.Data || e.Finishes { // a target that finishes has nothing more to answer
		t.answered(f)
	}
	if e.Resets {
		t.remove(id, f)
		return
	}
	t.finish(id, f, e)
}

// touch returns a flow that a packet belongs to, nil if it is none: only bytes of the connection open one here, because the acknowledgement of a
// flow's end comes after it.
func (t *Table) touch(now time.Duration, id steering.Flow, e Event) *flow {
	t.advance(now)
	f := t.flows[id]
	if f == nil {
		if !e.Data {
			return nil
		}
		f = &flow{}
		t.flows[id] = f
		delete(t.opening, id)
	}
	f.last = now
	return f
}

// RecordBounced notes that the target gave a packet of the flow back.
func (t *Table) RecordBounced(now time.Duration, id steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	delete(t.opening, id)
	if f := t.flows[id]; f != nil {
		t.remove(id, f)
	}
}

func (t *Table) answered(f *flow) {
	if f.waiting {
		f.waiting = false
		t.busy--
	}
}

// finish forgets a flow once both ends have finished.
func (t *Table) finish(id steering.Flow, f *flow, e Event) {
	if !e.Finishes {
		return
	}
	if f.finished {
		t.remove(id, f)
		return
	}
	f.finished = true
}

func (t *Table) remove(id steering.Flow, f *flow) {
	t.answered(f)
	delete(t.flows, id)
}

// Expire forgets flows that were idle for longer than the timeout, and requests without an answer after busyAtMost.
func (t *Table) Expire(now, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	for id, f := range t.flows {
		switch {
		case now-f.last > timeout:
			t.remove(id, f)
		case f.waiting && now-f.since > busyAtMost:
			t.answered(f)
		}
	}
}

// Clear forgets all flows, when the target has ended.
func (t *Table) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.flows)
	clear(t.opening)
	t.busy, t.smooth = 0, 0
	t.started, t.ended, t.broken = decayed{}, decayed{}, decayed{}
}

// Load returns the load of the target.
func (t *Table) Load(now time.Duration) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return Load{
		Flows: len(t.flows), Busy: t.smooth,
		Rate:    t.started.value(now) / judgedOver.Seconds(),
		Failing: t.broken.value(now) / (t.ended.value(now) + trusted),
	}
}

// Package inflight follows the flows that pass an agent, and derives the load of its target from their packets: open flows, and requests in
// progress. It needs no report of the target.
package inflight

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/steering"
)

// smoothing is the time constant of the number of requests in progress: a few requests long, so that a burst shows in the next heartbeat.
const smoothing = 100 * time.Millisecond

// busyAtMost is how long a request counts as in progress. One that takes longer has most likely lost its caller or its answer, and a target that
// seemed busy for ever would get no new flows.
const busyAtMost = 2 * time.Second

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

// Table holds the flows of one target. Its methods may be called from any goroutine.
type Table struct {
	mu      sync.Mutex
	flows   map[steering.Flow]*flow
	busy    int
	smooth  float64
	updated time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{flows: map[steering.Flow]*flow{}} }

// advance brings the smoothed number of requests up to now.
func (t *Table) advance(now time.Duration) {
	if d := now - t.updated; d > 0 {
		keep := float64(smoothing) / float64(smoothing+d)
		t.smooth = t.smooth*keep + float64(t.busy)*(1-keep)
		t.updated = now
	}
}

// Delivered notes a caller's packet that was passed to the target.
func (t *Table) Delivered(now time.Duration, id steering.Flow, e Event) {
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
		}
	}
	t.finish(id, f, e)
}

// Sent notes a packet of the target.
func (t *Table) Sent(now time.Duration, id steering.Flow, e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.touch(now, id, e)
	if f == nil {
		return
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
	}
	f.last = now
	return f
}

// Refused notes that the target gave a packet of the flow back.
func (t *Table) Refused(now time.Duration, id steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
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
	t.busy, t.smooth = 0, 0
}

// Load returns the number of flows, and of requests in progress, smoothed.
func (t *Table) Load(now time.Duration) (flows int, busy float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return len(t.flows), t.smooth
}

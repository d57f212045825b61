// Package inflight tracks the flows that pass through an agent and derives the load of its target
// from their packets: open flows, requests in progress and failures. It needs no reports from the
// target.
package inflight

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/steering"
)

// busyTimeConstant is the time constant of the moving average of requests in progress. It is a few
// requests long, so that a burst shows in the next heartbeat.
const busyTimeConstant = 100 * time.Millisecond

// failureTimeConstant is the time constant of the request rate and of the share of requests that
// the target broke off. A target that is avoided for its failures is tried again after about twice
// this time.
const failureTimeConstant = 2 * time.Second

// assumedAnswers is added to the number of ended requests, as if the target had answered that many
// before, so that a single failure has little weight.
const assumedAnswers = 4

// maxRequestTime is how long a request counts as in progress. A longer one has most likely lost its
// caller or its answer, and a target that stayed busy because of it would get no new flows.
const maxRequestTime = 2 * time.Second

// openingTimeout is how long an opening packet that was passed to the target counts as a request to
// come. The caller's request follows after a round trip of some 20 ms, or never if the caller has
// given up.
const openingTimeout = 60 * time.Millisecond

// Event is the content of one packet that matters to its flow.
type Event struct {
	Data     bool   // carries bytes of the connection
	Sequence uint32 // number of the first of these bytes
	Finishes bool
	Resets   bool
	// Objective is the latency objective of the flow's route, 0 if unknown. It is only read of a caller's bytes.
	Objective time.Duration
}

// notWorking is the start of work of a request that waits for a slot.
const notWorking = time.Duration(-1)

type flow struct {
	lastPacket   time.Duration
	requestStart time.Duration // when the request in progress arrived
	sequence     uint32        // of the latest bytes from the caller
	inProgress   bool          // the target has not answered the caller's latest bytes
	callerEnded  bool          // the caller has finished
	targetEnded  bool          // the target has finished
	served       bool          // the target has sent bytes of the connection
	// Of the request in progress:
	objective  time.Duration
	lastBytes  time.Duration // when the latest of its bytes arrived
	workStart  time.Duration // when it got a slot, notWorking before
	queueTime  time.Duration // its expected wait for a slot
	unanswered bool          // it has counted as unanswered
}

// decayingCount is a number of events that decays exponentially.
type decayingCount struct {
	sum float64
	at  time.Duration
}

func (d *decayingCount) value(now, constant time.Duration) float64 {
	if now <= d.at {
		return d.sum
	}
	return d.sum * math.Exp(-float64(now-d.at)/float64(constant))
}

func (d *decayingCount) add(now, constant time.Duration) {
	d.sum, d.at = d.value(now, constant)+1, max(now, d.at)
}

// Load is the load of a target at one moment.
type Load struct {
	Flows   int
	Busy    float64 // requests in progress, as a moving average
	Rate    float64 // requests per second
	Failing float64 // share of the requests that the target broke off or left unanswered, 0 to 1
	// Slowdown is the mean time of a request without the time that it waits for a slot, 0 if unknown. It
	// rises at once and falls within seconds.
	Slowdown time.Duration
}

// MeanRequestTime returns the mean time of a request, 0 if there was none.
func (l Load) MeanRequestTime() time.Duration { return steering.RequestTime(l.Busy, l.Rate) }

// Table holds the flows of one target. Its methods are safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	flows   map[steering.Flow]*flow
	opening map[steering.Flow]time.Duration // time of the first opening packet, until a request arrives
	// recent holds the time of the last opening packet, or of the last packet, of flows that aren't in flows although the
	// target may know them: those without bytes of the connection yet, and those that have ended. A target acknowledges
	// what a caller sends again after the end.
	recent       map[steering.Flow]time.Duration
	busy         int
	smoothedBusy float64
	updated      time.Duration
	started      decayingCount // requests
	ended        decayingCount // requests that were answered or broken off
	brokenOff    decayingCount // requests that were broken off
	flowLoad     flowLoad
	// Requests that were answered, and requests and opening packets that had no answer for too long.
	answered, unanswered     decayingCount
	unansweredInRow          int                             // since the last answer
	answeredInRow            int                             // since the last unanswered one
	order                    []*flow                         // those with a request in progress, by its arrival
	offered                  map[steering.Flow]time.Duration // time of the first opening packet, until the target sends a packet
	slots                    int
	poolTime                 time.Duration // mean time of a request in the pool
	lastEnd                  time.Duration // of a request
	work                     work
	heldWork, heldUnanswered heldFigure    // as reported
	checked                  time.Duration // time of the last SetPool
}

// New returns an empty table.
func New() *Table {
	return &Table{
		flows: map[steering.Flow]*flow{}, opening: map[steering.Flow]time.Duration{},
		recent: map[steering.Flow]time.Duration{}, offered: map[steering.Flow]time.Duration{}, slots: 1,
	}
}

// RecordOpening records an opening packet that was passed to the target.
func (t *Table) RecordOpening(now time.Duration, id steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent[id] = now
	if _, ok := t.opening[id]; !ok && t.flows[id] == nil {
		t.opening[id] = now
		if _, ok := t.offered[id]; !ok {
			t.offered[id] = now
		}
	}
}

// Outstanding returns the requests in progress now, plus those expected from flows that are
// opening.
func (t *Table) Outstanding(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, at := range t.opening {
		if now-at > openingTimeout {
			delete(t.opening, id)
		}
	}
	return t.busy + len(t.opening)
}

// updateSmoothedBusy advances the moving average of requests in progress to now.
func (t *Table) updateSmoothedBusy(now time.Duration) {
	if d := now - t.updated; d > 0 {
		keep := float64(busyTimeConstant) / float64(busyTimeConstant+d)
		t.smoothedBusy = t.smoothedBusy*keep + float64(t.busy)*(1-keep)
		t.flowLoad.advance(d, len(t.flows), t.busy)
		t.updated = now
	}
}

// RecordDelivered records a caller's packet that was passed to the target. It reports whether the
// packet begins another request on a flow that the target has served before.
func (t *Table) RecordDelivered(now time.Duration, id steering.Flow, e Event) (again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flowOf(now, id, e)
	if f == nil {
		return false
	}
	if e.Resets {
		if f.inProgress && !f.unanswered && t.isOverdue(now, f) {
			t.countUnanswered(now)
		}
		t.remove(id, f)
		return false
	}
	if e.Data && (f.sequence == 0 || int32(e.Sequence-f.sequence) > 0) { // otherwise a retransmission
		f.sequence, f.lastBytes = e.Sequence, now
		if !f.inProgress {
			f.inProgress, f.requestStart = true, now
			t.busy++
			t.started.add(now, failureTimeConstant)
			t.flowLoad.recordRequest(!f.served)
			t.beginWork(f, e.Objective)
			again = f.served
		}
	}
	f.callerEnded = f.callerEnded || e.Finishes
	t.removeFinished(id, f)
	return again
}

// RecordSent records a packet that the target sent.
func (t *Table) RecordSent(now time.Duration, id steering.Flow, e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.offered, id)
	f := t.flowOf(now, id, e)
	if f == nil {
		return
	}
	if f.inProgress && (e.Data || e.Resets) {
		t.ended.add(now, failureTimeConstant)
		if e.Resets {
			t.brokenOff.add(now, failureTimeConstant)
		} else {
			t.recordAnswer(now, f)
		}
	}
	f.served = f.served || e.Data
	if e.Data || e.Finishes { // a target that finishes sends no more answers
		t.endRequest(f)
	}
	if e.Resets {
		t.remove(id, f)
		return
	}
	f.targetEnded = f.targetEnded || e.Finishes
	t.removeFinished(id, f)
}

// MayHold reports whether the target may know a flow: packets of it have passed the agent lately, and the target has not
// bounced the last of them. Flows whose packets have not passed the agent are not considered.
func (t *Table) MayHold(id steering.Flow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, recent := t.recent[id]
	return recent || t.flows[id] != nil
}

// Serves reports whether the target has served an open flow, and so holds it. It may hold others too: those that it served
// before the agent started.
func (t *Table) Serves(id steering.Flow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[id]
	return f != nil && f.served
}

// flowOf returns the flow of a packet, nil if the packet belongs to no open flow. Only bytes of the
// connection add a flow, because the acknowledgement of a flow's end arrives after the flow was
// removed.
func (t *Table) flowOf(now time.Duration, id steering.Flow, e Event) *flow {
	t.updateSmoothedBusy(now)
	f := t.flows[id]
	if f == nil {
		if !e.Data {
			return nil
		}
		f = &flow{}
		t.flows[id] = f
		delete(t.opening, id)
	}
	f.lastPacket = now
	return f
}

// RecordBounced records that the target bounced a packet of the flow.
func (t *Table) RecordBounced(now time.Duration, id steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateSmoothedBusy(now)
	delete(t.opening, id)
	delete(t.offered, id)
	if f := t.flows[id]; f != nil {
		t.remove(id, f)
	}
	delete(t.recent, id)
}

func (t *Table) endRequest(f *flow) {
	if f.inProgress {
		f.inProgress = false
		t.busy--
		t.endWork(f)
	}
}

// removeFinished removes a flow once both ends have finished. One end may finish several times: it sends its last packet
// again if the other's acknowledgement is lost.
func (t *Table) removeFinished(id steering.Flow, f *flow) {
	if f.callerEnded && f.targetEnded {
		t.remove(id, f)
	}
}

func (t *Table) remove(id steering.Flow, f *flow) {
	t.endRequest(f)
	delete(t.flows, id)
	t.recent[id] = f.lastPacket
}

// Expire removes flows that were idle for longer than the timeout, and ends requests that have had
// no answer for maxRequestTime. It returns the removed flows that the target has served: it may still hold them.
func (t *Table) Expire(now, timeout time.Duration) (served []steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateSmoothedBusy(now)
	for id, f := range t.flows {
		switch {
		case now-f.lastPacket > timeout:
			if f.served {
				served = append(served, id)
			}
			t.remove(id, f)
		case f.inProgress && now-f.requestStart > maxRequestTime:
			t.endRequest(f)
		}
	}
	for id, at := range t.recent {
		if now-at > timeout {
			delete(t.recent, id)
		}
	}
	return served
}

// ServiceAddresses returns the addresses to which callers have opened the flows that the target has served, in no
// particular order. A packet that was passed to the target doesn't show that the target holds its flow.
func (t *Table) ServiceAddresses() []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[netip.AddrPort]struct{}{}
	for id, f := range t.flows {
		if f.served {
			seen[id.Service()] = struct{}{}
		}
	}
	return slices.Collect(maps.Keys(seen))
}

// Served returns the flows that the target has served, the one with the latest packet first.
func (t *Table) Served() []steering.Flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var served []steering.Flow
	for id, f := range t.flows {
		if f.served {
			served = append(served, id)
		}
	}
	slices.SortFunc(served, func(a, b steering.Flow) int {
		return cmp.Compare(t.flows[b].lastPacket, t.flows[a].lastPacket)
	})
	return served
}

// Clear removes all flows, for when the target has ended.
func (t *Table) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
}

// ClearBefore removes all flows, for when a process of the target has started at the time start. The target may know those
// that have had a packet since.
func (t *Table) ClearBefore(start time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := map[steering.Flow]time.Duration{}
	for id, at := range t.recent {
		if at >= start {
			kept[id] = at
		}
	}
	for id, f := range t.flows {
		if f.lastPacket >= start {
			kept[id] = f.lastPacket
		}
	}
	t.clear()
	t.recent = kept
}

func (t *Table) clear() {
	clear(t.flows)
	clear(t.opening)
	clear(t.recent)
	clear(t.offered)
	t.order, t.work, t.heldWork, t.heldUnanswered = nil, work{}, heldFigure{}, heldFigure{}
	t.answered, t.unanswered, t.answeredInRow, t.unansweredInRow = decayingCount{}, decayingCount{}, 0, 0
	t.busy, t.smoothedBusy = 0, 0
	t.started, t.ended, t.brokenOff = decayingCount{}, decayingCount{}, decayingCount{}
	t.flowLoad = flowLoad{slots: t.flowLoad.slots}
}

// Load returns the load of the target.
func (t *Table) Load(now time.Duration) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateSmoothedBusy(now)
	t.checkUnanswered(now)
	return Load{
		Flows: len(t.flows), Busy: t.smoothedBusy,
		Rate:    t.started.value(now, failureTimeConstant) / failureTimeConstant.Seconds(),
		Failing: t.failing(now), Slowdown: t.slowdown(now),
	}
}

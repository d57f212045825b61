// Package lifecycle decides what an agent believes of the target beside it: which one it is, whether it takes new flows, and whether it is gone.
package lifecycle

import (
	"sync"
	"time"
)

// Report is what a target says of itself.
type Report struct {
	ID          string
	Service     string
	Version     string // of the target's software
	StartUnixMs int64  // start of the target, Unix milliseconds
	Sequence    uint64 // increases with each report of one life
	Draining    bool
	WarmUpLeft  time.Duration // how much longer the target is slow after its start
	Slots       int
}

// ReportResult is what became of a report.
type ReportResult string

// Verdicts.
const (
	Accepted   ReportResult = "accepted"
	Changed    ReportResult = "accepted, target changed" // another target, another life of it or another state
	Stale      ReportResult = "late"                     // overtaken by a newer report, or from an earlier life
	NotCurrent ReportResult = "not the current target"
)

const (
	// openingsUnanswered is the number of flows offered without any packet from the target that make it unresponsive. One opening packet
	// may be lost.
	openingsUnanswered = 2
	// answerWithin is how long a live target takes at most to answer an opening packet, which it does without queueing.
	answerWithin = 150 * time.Millisecond
	// silentBeats is how many heartbeats a target may miss before it gets no new flows. It is below two, because its address may be
	// reused by another service soon after its end.
	silentBeats = 1.5
	// goneBeats is how many heartbeats a target may miss, and send no packet, before it counts as gone. Heartbeats come at about their
	// interval and may be retried after a second.
	goneBeats = 2
	goneSlack = time.Second
	// refusedFor is how long a target gets no new flows after it gave one back. It is then offered the next one.
	refusedFor = 250 * time.Millisecond
	// reuseMargin is kept between the end of new flows to a silent target and the earliest reuse of its address.
	reuseMargin = 100 * time.Millisecond
)

// Options are the bounds that the platform keeps to.
type Options struct {
	Heartbeat    time.Duration // interval of reports
	AddressReuse time.Duration // earliest reuse of an ended target's address; 0 if unknown
}

// Status is what is believed of the target at one moment.
type Status struct {
	ID           string
	Service      string // empty while no target has reported
	StartUnixMs  int64
	Accepting    bool // takes new flows
	Ended        bool // gone: holds no flow
	MayHaveEnded bool // may have ended: a packet that is passed to it may get lost
	WarmingUp    bool // slow after its start
	Slots        int
	Reason       string // why it isn't accepting
	Age          time.Duration
}

// Target follows one target. Times are those of a clock that counts suspension. Its methods may be called from any goroutine.
type Target struct {
	silent time.Duration // without a report, until new flows end
	gone   time.Duration // without a report or packet, until the target counts as gone

	mu         sync.Mutex
	started    time.Duration // when the agent began to listen
	report     Report
	known      bool
	left       bool
	ended      bool          // its instance is being stopped, and it is gone
	drained    bool          // had announced its end before the agent started
	reported   time.Duration // time of the last report
	sent       time.Duration // time of the last packet from the target
	unanswered int           // opening packets since then
	offered    time.Duration // time of the first of them
	refused    time.Duration // time of the last opening packet that the target gave back
}

// New returns a target of which nothing is known at the time now.
func New(now time.Duration, o Options) *Target {
	t := &Target{started: now, silent: time.Duration(silentBeats * float64(o.Heartbeat)), gone: goneBeats*o.Heartbeat + goneSlack}
	if o.AddressReuse > reuseMargin {
		t.silent = min(t.silent, o.AddressReuse-reuseMargin)
	}
	return t
}

// RecordReport takes a report.
func (t *Target) RecordReport(now time.Duration, r Report) ReportResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && !t.newer(now, &r) {
		return Stale
	}
	changed := !t.known || t.left || r.ID != t.report.ID || r.StartUnixMs != t.report.StartUnixMs || r.Service != t.report.Service || r.Draining != t.report.Draining
	if !t.known || r.StartUnixMs != t.report.StartUnixMs {
		t.left, t.ended, t.drained = false, false, false
	}
	t.report, t.known, t.reported = r, true, now
	t.unanswered = 0
	if changed {
		return Changed
	}
	return Accepted
}

// newer tells whether r is of a later life than the last report, or later in the same life.
func (t *Target) newer(now time.Duration, r *Report) bool {
	switch {
	case r.StartUnixMs != t.report.StartUnixMs:
		return r.StartUnixMs > t.report.StartUnixMs
	case r.ID != t.report.ID:
		return t.left || now-t.reported > t.silent
	}
	return r.Sequence > t.report.Sequence
}

// RecordLeave takes a target's word that it ends.
func (t *Target) RecordLeave(id string) ReportResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.report.ID != id {
		return NotCurrent
	}
	t.left = true
	return Changed
}

// RecordSent notes a packet that only a living target sends: it accepts a flow or serves one.
func (t *Target) RecordSent(now time.Duration) {
	t.mu.Lock()
	t.sent, t.unanswered = now, 0
	t.mu.Unlock()
}

// RecordAnswer notes a packet that answers one of the caller's without accepting or serving a flow. It is no sign that the target lives: the instance gives
// packets back after the target's end, and acknowledges or resets flows that have ended there.
func (t *Target) RecordAnswer() {
	t.mu.Lock()
	t.unanswered = 0
	t.mu.Unlock()
}

// RecordOffer notes that an opening packet was passed to the target.
func (t *Target) RecordOffer(now time.Duration) {
	t.mu.Lock()
	if t.unanswered == 0 {
		t.offered = now
	}
	t.unanswered++
	t.mu.Unlock()
}

// RecordBounced notes that the target gave an opening packet back: it has no room, or has crashed.
func (t *Target) RecordBounced(now time.Duration) {
	t.mu.Lock()
	t.refused = now
	t.mu.Unlock()
}

// Status returns what is believed now.
func (t *Target) Status(now time.Duration) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{Age: now - t.reported}
	if t.known {
		s.ID, s.Service, s.StartUnixMs, s.Slots = t.report.ID, t.report.Service, t.report.StartUnixMs, t.report.Slots
		s.WarmingUp = t.report.WarmUpLeft > now-t.reported
	}
	s.Reason = t.refusal(now)
	s.Accepting = s.Reason == ""
	s.Ended = t.absent(now)
	s.MayHaveEnded = t.left || t.silentFor(now) || t.unresponsive(now)
	return s
}

// silentFor tells whether reports have been missing for so long that the target may have ended.
func (t *Target) silentFor(now time.Duration) bool { return t.known && now-t.reported > t.silent }

// unresponsive tells whether the target has left opening packets unanswered.
func (t *Target) unresponsive(now time.Duration) bool {
	return t.unanswered >= openingsUnanswered && now-t.offered > answerWithin
}

// refusal returns why the target takes no new flows, empty if it does.
func (t *Target) refusal(now time.Duration) string {
	switch {
	case !t.known:
		return "no report yet"
	case t.left:
		return "left"
	case t.report.Draining:
		return "draining"
	case t.silentFor(now):
		return "no report for too long"
	case t.unresponsive(now):
		return "doesn't answer"
	case t.refused != 0 && now-t.refused < refusedFor:
		return "refuses new flows"
	}
	return ""
}

// MarkDrained notes that the target had announced its end before the agent started.
func (t *Target) MarkDrained() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drained = !t.known
}

// MarkStopping notes that the target's instance is being stopped. A target that has announced its end is gone by then, and so is one that has given no sign of life
// since the agent started, unless it may just not have reported yet.
func (t *Target) MarkStopping(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = t.left || t.unseen() && (t.drained || now-t.started > t.silent)
}

// unseen tells whether the target has given no sign of life since the agent started.
func (t *Target) unseen() bool { return !t.known && t.sent == 0 }

// AwaitsFirstReport tells whether the agent has started so shortly ago that a target without a sign of life may have ended or not have reported yet.
func (t *Target) AwaitsFirstReport(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unseen() && !t.drained && now-t.started <= t.silent
}

// absent tells whether the target holds no flow any more.
func (t *Target) absent(now time.Duration) bool {
	if t.ended {
		return true
	}
	if t.left {
		return now-t.sent > t.gone-goneSlack
	}
	if t.drained {
		return now-max(t.sent, t.started) > t.silent
	}
	return now-max(t.reported, t.sent, t.started) > t.gone
}

// Draining tells whether the target has announced its end, or has ended.
func (t *Target) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended || t.known && (t.left || t.report.Draining)
}

// Package targetstate derives the state of an agent's target from its reports and packets: which
// target it is, whether it takes new flows, and whether it has ended.
package targetstate

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/stall"
)

// Report is the content of one report of a target.
type Report struct {
	ID          string
	Service     string
	Version     string // of the target's software
	StartUnixMs int64  // start of the target, Unix milliseconds
	StartsAhead bool   // the start is further in the future than clocks usually differ
	// Age is the time since the start by the clock of the instance when the report arrived; negative if unknown.
	Age        time.Duration
	Sequence   uint64 // increases with each report of a target process
	Draining   bool
	WarmUpLeft time.Duration // how much longer the target is slow after its start
	Slots      int
}

// ReportResult is the outcome of recording a report or an announced end.
type ReportResult string

// Outcomes of a report.
const (
	Accepted   ReportResult = "accepted"
	Changed    ReportResult = "accepted, target changed" // another target, a restarted one, or another state
	Stale      ReportResult = "late"                     // older than the last report, or seemingly of an earlier process
	NotCurrent ReportResult = "not the current target"
)

const (
	// maxUnansweredOpenings is the number of offered flows without any packet from the target that
	// make it unresponsive. It is above one because a single opening packet may be lost.
	maxUnansweredOpenings = 2
	// answerTimeout is the longest time that a running target takes to answer an opening packet. It
	// answers without queueing.
	answerTimeout = 150 * time.Millisecond
	// maxMissedBeforeSilent is how many reports a target may miss before it gets no new flows. It
	// is below two, because another service may reuse the target's address soon after its end.
	maxMissedBeforeSilent = 1.5
	// maxMissedBeforeEnded is how many reports a target that sends no packet may miss before it
	// counts as ended. endedSlack is added because reports arrive only at about their interval and
	// may be retried after a second.
	maxMissedBeforeEnded = 2
	endedSlack           = time.Second
	// bouncePause is how long a target gets no new flows after it bounced one. It is then offered
	// the next one.
	bouncePause = 250 * time.Millisecond
	// reuseMargin is the least time between the end of new flows to a silent target and the
	// earliest reuse of its address.
	reuseMargin = 100 * time.Millisecond
	// maxUnseenTime is the time before an agent's start in which no earlier process of the agent can have passed a flow to
	// a target that has started since: it would have had to start, learn of the target and stop, and the platform takes
	// longer to start the next process.
	maxUnseenTime = 300 * time.Millisecond
	// minConfirmation is the least time between the reports that confirm a start, as a part of their
	// interval. Reports that were delayed together arrive together.
	minConfirmation = 0.5
)

// Options are the timing guarantees of the platform.
type Options struct {
	Heartbeat    time.Duration // interval of reports
	AddressReuse time.Duration // earliest reuse of an ended target's address; 0 if unknown
}

// Status is the state of the target at one moment.
type Status struct {
	ID           string
	Service      string // empty until a target has reported
	StartUnixMs  int64
	Accepting    bool // takes new flows
	Ended        bool // holds no flow
	MayHaveEnded bool // a packet that is passed to the target may get lost
	WarmingUp    bool // slow after its start
	Slots        int
	Reason       string        // why the target isn't accepting
	Age          time.Duration // of the last report
}

// Target tracks the state of one target. Times must come from a clock that counts suspension. Its
// methods are safe for concurrent use.
type Target struct {
	silentAfter time.Duration // time without a report until new flows end
	endedAfter  time.Duration // time without a report or packet until the target counts as ended
	// confirmAfter is the least time between the reports that confirm a start.
	confirmAfter time.Duration

	mu                 sync.Mutex
	listener           stall.Detector // of the agent
	started            time.Duration  // when the agent began to listen
	report             Report
	hasReported        bool
	latestStart        int64          // latest StartUnixMs of any recorded report
	unconfirmed        *reportedStart // nil if the last report was recorded
	left               bool           // has announced its end and takes no new flows
	endedAtStop        bool           // had ended when its instance was being stopped
	drainedBeforeStart bool           // had announced its end before the agent started
	lastReport         time.Duration
	lastPacket         time.Duration // time of the last packet that only a running target sends
	unansweredOpenings int           // opening packets since any packet or report of the target
	firstUnanswered    time.Duration // time of the first of them
	seenSinceStart     bool          // the agent has listened since the target's start
	lastBounce         time.Duration // time of the last opening packet that the target bounced
}

// New returns a target without a report, for an agent that starts at the time now.
func New(now time.Duration, o Options) *Target {
	t := &Target{started: now, silentAfter: time.Duration(maxMissedBeforeSilent * float64(o.Heartbeat)),
		endedAfter:   maxMissedBeforeEnded*o.Heartbeat + endedSlack,
		confirmAfter: time.Duration(minConfirmation * float64(o.Heartbeat))}
	t.listener.Record(now)
	if o.AddressReuse > reuseMargin {
		t.silentAfter = min(t.silentAfter, o.AddressReuse-reuseMargin)
	}
	return t
}

// RecordRunning records that the agent is running. It is due every stall.RecordInterval.
func (t *Target) RecordRunning(now time.Duration) {
	t.mu.Lock()
	t.listener.Record(now)
	t.mu.Unlock()
}

// RecordReport records a report unless it is stale.
func (t *Target) RecordReport(now time.Duration, r Report) ReportResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isNewer(now, &r) && !t.confirms(now, &r) {
		return Stale
	}
	changed := !t.hasReported || t.left || r.ID != t.report.ID || r.StartUnixMs != t.report.StartUnixMs ||
		r.Service != t.report.Service || r.Draining != t.report.Draining
	if !t.hasReported || r.StartUnixMs != t.report.StartUnixMs {
		t.left, t.endedAtStop, t.drainedBeforeStart = false, false, false
		t.seenSinceStart = r.Age >= 0 && r.Age <= now-t.started+maxUnseenTime
	}
	t.report, t.hasReported, t.lastReport = r, true, now
	t.latestStart, t.unconfirmed = max(t.latestStart, r.StartUnixMs), nil
	t.unansweredOpenings = 0
	if changed {
		return Changed
	}
	return Accepted
}

// reportedStart is a start of the target whose reports are not recorded.
type reportedStart struct {
	last  Report
	since time.Duration // time of its first report
}

// isSameProcess reports whether two reports come from the same process.
func isSameProcess(a, b *Report) bool { return a.ID == b.ID && a.StartUnixMs == b.StartUnixMs }

// isNewer reports whether r certainly comes from a later process of the target than the last report, or
// later from the same one.
func (t *Target) isNewer(now time.Duration, r *Report) bool {
	switch {
	case !t.hasReported:
		return !r.StartsAhead
	case isSameProcess(r, &t.report):
		return r.Sequence > t.report.Sequence
	case r.StartUnixMs == t.report.StartUnixMs:
		return t.left || now-t.lastReport > t.silentAfter
	}
	return r.StartUnixMs > t.latestStart && !r.StartsAhead
}

// confirms reports whether r shows that another process than the recorded one is running, although it
// seems to have started earlier, or in the future: its reports continue, and none of the recorded process
// came between them. The clock of the machine has then gone back. A single such report may be a delayed
// one of an earlier process, or of another writer.
func (t *Target) confirms(now time.Duration, r *Report) bool {
	u := t.unconfirmed
	switch {
	case isSameProcess(r, &t.report):
		return false
	case u == nil || !isSameProcess(r, &u.last):
		t.unconfirmed = &reportedStart{last: *r, since: now}
		return false
	case r.Sequence <= u.last.Sequence:
		return false
	}
	u.last = *r
	return now-u.since >= t.confirmAfter
}

// RecordLeave records that the target has announced its end. startUnixMs is the start that the call names, 0 if it names
// none: a target may have started again under the same id since.
func (t *Target) RecordLeave(id string, startUnixMs int64) ReportResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasReported || t.report.ID != id ||
		startUnixMs != 0 && t.report.StartUnixMs != 0 && startUnixMs != t.report.StartUnixMs {
		return NotCurrent
	}
	t.left = true
	return Changed
}

// RecordSent records a packet that only a running target sends: one that accepts or serves a flow.
func (t *Target) RecordSent(now time.Duration) {
	t.mu.Lock()
	t.lastPacket, t.unansweredOpenings = now, 0
	t.mu.Unlock()
}

// RecordAnswer records a packet that answers the caller without accepting or serving a flow. It
// doesn't prove that the target is running: after the target's end, its instance bounces packets,
// and acknowledges or resets flows that have ended there.
func (t *Target) RecordAnswer() {
	t.mu.Lock()
	t.unansweredOpenings = 0
	t.mu.Unlock()
}

// RecordOffer records that an opening packet was passed to the target.
func (t *Target) RecordOffer(now time.Duration) {
	t.mu.Lock()
	if t.unansweredOpenings == 0 {
		t.firstUnanswered = now
	}
	t.unansweredOpenings++
	t.mu.Unlock()
}

// RecordBounced records that the target bounced an opening packet, because it has no capacity or
// has crashed.
func (t *Target) RecordBounced(now time.Duration) {
	t.mu.Lock()
	t.lastBounce = now
	t.mu.Unlock()
}

// Status returns the state of the target at the time now.
func (t *Target) Status(now time.Duration) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{Age: now - t.lastReport}
	if t.hasReported {
		s.ID, s.Service, s.StartUnixMs, s.Slots = t.report.ID, t.report.Service, t.report.StartUnixMs, t.report.Slots
		s.WarmingUp = t.report.WarmUpLeft > now-t.lastReport
	}
	s.Reason = t.refusalReason(now)
	s.Accepting = s.Reason == ""
	s.Ended = t.hasEnded(now)
	s.MayHaveEnded = t.left || t.isSilent(now) || t.isUnresponsive(now)
	return s
}

// isSilent reports whether reports have been missing for so long that the target may have ended.
func (t *Target) isSilent(now time.Duration) bool {
	return t.hasReported && now-t.lastReport > t.silentAfter
}

// isUnresponsive reports whether the target has left opening packets unanswered for too long.
func (t *Target) isUnresponsive(now time.Duration) bool {
	return t.unansweredOpenings >= maxUnansweredOpenings && now-t.firstUnanswered > answerTimeout
}

// refusalReason returns why the target takes no new flows, empty if it takes them.
func (t *Target) refusalReason(now time.Duration) string {
	switch {
	case !t.hasReported:
		return "no report yet"
	case t.left:
		return "left"
	case t.report.Draining:
		return "draining"
	case t.isSilent(now):
		return "no report for too long"
	case t.isUnresponsive(now):
		return "doesn't answer"
	case t.lastBounce != 0 && now-t.lastBounce < bouncePause:
		return "refuses new flows"
	}
	return ""
}

// SeenSinceStart reports whether the agent has listened since the target's start, so that all packets of the target's flows
// have passed it. It isn't reported if the clock of the instance was set meanwhile.
func (t *Target) SeenSinceStart() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasReported && t.seenSinceStart
}

// MarkDrained records that the target had announced its end before the agent started. It has no
// effect once the target has reported.
func (t *Target) MarkDrained() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainedBeforeStart = !t.hasReported
}

// MarkStopping records that the target's instance is being stopped, and reports whether the target has
// ended. It has if it has left, or announced its end and then fallen silent, or was not seen since the
// agent started. One that has only announced its end still holds flows.
func (t *Target) MarkStopping(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endedAtStop = t.left || t.report.Draining && t.hasEnded(now) || t.isUnseen() && !t.mayStillReport(now)
	return t.endedAtStop
}

// isUnseen reports whether the target has sent, since the agent started, neither a report nor a
// packet that only a running target sends.
func (t *Target) isUnseen() bool { return !t.hasReported && t.lastPacket == 0 }

// AwaitsFirstReport reports whether the agent has started so recently that an unseen target may
// either have ended or not have had the time to report.
func (t *Target) AwaitsFirstReport(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isUnseen() && t.mayStillReport(now)
}

// mayStillReport reports whether an unseen target may not have had the time to report to this agent.
func (t *Target) mayStillReport(now time.Duration) bool {
	return now-t.started <= t.silentAfter || !t.listener.Settled(now)
}

// hasEnded reports whether the target holds no flow any more.
func (t *Target) hasEnded(now time.Duration) bool {
	if t.endedAtStop {
		return true
	}
	if t.left {
		return now-t.lastPacket > t.endedAfter-endedSlack
	}
	if !t.listener.Settled(now) {
		return false // reports may be unread
	}
	if t.drainedBeforeStart {
		return now-max(t.lastPacket, t.started) > t.silentAfter
	}
	return now-max(t.lastReport, t.lastPacket, t.started) > t.endedAfter
}

// Draining reports whether the target has announced its end, or has ended.
func (t *Target) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endedAtStop || t.hasReported && (t.left || t.report.Draining)
}

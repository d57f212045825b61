package flows

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/steering"
)

// Service addresses that callers use.
var (
	addressA = netip.MustParseAddrPort("198.18.0.1:8443")
	addressB = netip.MustParseAddrPort("198.18.0.2:8443")
	// addressSplit is of a route that is split between both services.
	addressSplit = netip.MustParseAddrPort("198.18.0.4:8443")
	// addressLow is of the route to service b with the lowest priority.
	addressLow = netip.MustParseAddrPort("198.18.0.5:8443")
)

const (
	readTimeout    = 2 * time.Second
	commandTimeout = 2500 * time.Millisecond
	maxAttempts    = 3
	// settleTime is the time after a disturbance anywhere in which guarantees that hold for an
	// undisturbed fleet only are not checked.
	settleTime = 5 * time.Second
	// stableWindow is the time after a disturbance in which an instance, or the store, counts as
	// disturbed: 4 s, and 200 ms of slack for the precision of the timestamps.
	stableWindow = 4*time.Second + 200*time.Millisecond
	// idleFlows is the number of long flows of each caller on which it seldom sends.
	idleFlows = 12
	minIdle   = time.Second
	maxIdle   = 10 * time.Second
	// maxFlowAge is the age at which callers close a flow.
	maxFlowAge = 55 * time.Second
	// drainBound is the time after a confirmed drain from which a target gets no new flow: 3 s, and
	// 200 ms of slack for the precision of the timestamps.
	drainBound = 3*time.Second + 200*time.Millisecond
	// routesBound is the time within which changed routes must be in force.
	routesBound = 3 * time.Second
)

// Load generates callers' requests, records their outcomes and checks the guarantees.
type Load struct {
	cluster *Cluster
	callers []*platformtest.Caller
	idleTo  netip.AddrPort // of half of the flows on which callers seldom send
	stop    chan struct{}
	running sync.WaitGroup

	mu             sync.Mutex
	violations     []string
	commandRuns    map[string]int // executions by request id of a command
	results        []result
	disturbedUntil map[*Node]time.Time // end of the last disturbance; nil is the store. Planned work is none
	// targetDisturbedUntil has the end of the last disturbance of the target beside a node that leaves the agent alone.
	targetDisturbedUntil map[*Node]time.Time
	outOfTouchUntil      map[*Node]time.Time // see RecordOutOfTouch
	historyLostUntil     time.Time           // end of the last time in which the store had lost its history
	evacuations          []*evacuation
	sentTo               map[steering.Flow]map[netip.Addr]time.Time // last packet to each entry
	excused              int                                        // see Excused
	lastRequest          int
}

type result struct {
	at     time.Time
	begun  time.Time
	kind   string
	ok     bool
	detail string
}

// NewLoad returns an idle load. The cluster that it will use must be started with its methods OnRun
// and OnAltered.
func NewLoad() *Load {
	return &Load{idleTo: addressA, commandRuns: map[string]int{}, disturbedUntil: map[*Node]time.Time{},
		targetDisturbedUntil: map[*Node]time.Time{}, outOfTouchUntil: map[*Node]time.Time{},
		sentTo: map[steering.Flow]map[netip.Addr]time.Time{}, stop: make(chan struct{})}
}

// RecordViolation records a violated guarantee, with the time.
func (l *Load) RecordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Violations returns the recorded violations.
func (l *Load) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.violations...)
}

// RecordDisturbance records that a disturbance of nodes lasts until the given time. The node nil stands
// for the store.
func (l *Load) RecordDisturbance(until time.Time, nodes ...*Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range nodes {
		if until.After(l.disturbedUntil[n]) {
			l.disturbedUntil[n] = until
		}
	}
}

// Undisturbed reports whether the last disturbance anywhere ended more than settleTime ago.
func (l *Load) Undisturbed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, until := range l.disturbedUntil {
		if time.Since(until) <= settleTime {
			return false
		}
	}
	return true
}

// countsFor reports whether the store, the nodes involved in a failure, and the target of the flow beside the node
// holder were undisturbed for stableWindow before it, and are since.
func (l *Load) countsFor(at time.Time, holder *Node, nodes []*Node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Sub(l.targetDisturbedUntil[holder]) <= stableWindow {
		l.excused++
		return false
	}
	nodes = append(nodes, holder)
	for _, n := range append(nodes, nil) {
		if at.Sub(l.disturbedUntil[n]) <= stableWindow {
			l.excused++
			return false
		}
	}
	return true
}

// Excused returns the number of resets and misdirections of flows with a living target that were not
// counted, because an instance involved or the store was disturbed.
func (l *Load) Excused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.excused
}

// OnRun checks a request that a target runs: the service must match, a command must run once only,
// and a drained target must not run a request on a flow that opened too late.
func (l *Load) OnRun(r platformtest.Run) {
	service := map[netip.AddrPort]string{addressA: "a", addressB: "b", addressLow: "b"}[r.Flow.Service()]
	if service != "" && service != r.Service {
		l.RecordViolation("%s for service %s ran at %s of service %s", r.ID, service, r.Target, r.Service)
	}
	if strings.HasPrefix(r.ID, "command") {
		l.mu.Lock()
		l.commandRuns[r.ID]++
		n := l.commandRuns[r.ID]
		l.mu.Unlock()
		if n > 1 {
			l.RecordViolation("%s ran %d times", r.ID, n)
		}
	}
	l.checkEvacuated(r)
	for _, n := range l.cluster.currentAgents() {
		t, _ := l.cluster.Target(n)
		if at := t.DrainConfirmedAt(); t.Holds(r.Flow) && !at.IsZero() && r.Opened.Sub(at) > drainBound && l.Undisturbed() {
			l.RecordViolation("%s ran on a flow that %s accepted %v after its drain was confirmed",
				r.ID, r.Target, r.Opened.Sub(at))
		}
	}
}

// OnAltered records a packet that differs from the one sent.
func (l *Load) OnAltered() {
	l.RecordViolation("a target received a packet that differs from the one sent")
}

// Start starts the callers. Each reads on one long flow, and sends commands and fetches reports on
// a new flow per request.
func (l *Load) Start(c *Cluster, callers int) error {
	l.cluster = c
	for i := range callers {
		ip := netip.MustParseAddrPort(fmt.Sprintf("127.%d.220.%d:%d", c.options.Subnet, 1+i, portCallers))
		caller, err := platformtest.NewCaller(ip, l.route)
		if err != nil {
			return err
		}
		l.callers = append(l.callers, caller)
		l.running.Go(func() { l.runReads(caller, addressA, func() time.Duration { return 150 * time.Millisecond }) })
		for i := range idleFlows {
			to := [2]netip.AddrPort{l.idleTo, addressA}[i%2]
			l.running.Go(func() {
				l.runReads(caller, to, func() time.Duration { return minIdle + rand.N(maxIdle-minIdle) })
			})
		}
		l.running.Go(func() { l.runShortFlows(caller, "command", addressA, 300*time.Millisecond) })
		l.running.Go(func() { l.runShortFlows(caller, "report", addressB, 400*time.Millisecond) })
	}
	return nil
}

// Stop ends the callers and waits for their requests.
func (l *Load) Stop() {
	close(l.stop)
	l.running.Wait()
	for _, c := range l.callers {
		c.Close()
	}
}

func (l *Load) newRequestID(kind string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRequest++
	return fmt.Sprintf("%s-%09d", kind, l.lastRequest)
}

func (l *Load) recordResult(kind string, begun time.Time, ok bool, detail string) {
	l.mu.Lock()
	l.results = append(l.results, result{time.Now(), begun, kind, ok, detail})
	l.mu.Unlock()
}

func (l *Load) wait(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// runReads sends reads on one flow and opens another when it ends. Reads are idempotent and
// retried.
func (l *Load) runReads(c *platformtest.Caller, to netip.AddrPort, interval func() time.Duration) {
	var flow *platformtest.Flow
	var opened time.Time
	for l.wait(interval()) {
		if flow != nil && time.Since(opened) > maxFlowAge {
			flow.Close()
			flow = nil
		}
		id, begun := l.newRequestID("read"), time.Now()
		outcome := platformtest.NotOpened
		for range maxAttempts {
			if flow == nil {
				if flow = c.Open(to); flow == nil {
					continue
				}
				opened = time.Now()
			}
			var ended bool
			node, holder := l.holderOf(flow.ID)
			outcome, _, ended = flow.Request(id, readTimeout)
			l.checkOutcome(id, flow, outcome, node, holder)
			if ended || outcome != platformtest.Answered {
				flow = nil
			}
			if outcome == platformtest.Answered {
				break
			}
		}
		l.recordResult("read", begun, outcome == platformtest.Answered, id+" "+string(outcome))
	}
}

// runShortFlows sends each request on a flow of its own. A command is not idempotent and is retried
// only if its flow did not open.
func (l *Load) runShortFlows(c *platformtest.Caller, kind string, to netip.AddrPort, interval time.Duration) {
	for l.wait(interval) {
		id, begun := l.newRequestID(kind), time.Now()
		outcome := platformtest.NotOpened
		for range maxAttempts {
			flow := c.Open(to)
			if flow == nil {
				continue
			}
			node, holder := l.holderOf(flow.ID)
			outcome, _, _ = flow.Request(id, commandTimeout)
			l.checkOutcome(id, flow, outcome, node, holder)
			flow.Close()
			if outcome == platformtest.Answered || kind == "command" {
				break
			}
		}
		l.recordResult(kind, begun, outcome == platformtest.Answered, id+" "+string(outcome))
	}
}

// holderOf returns the target that holds a flow, with its instance; nil if none does.
func (l *Load) holderOf(f steering.Flow) (*Node, *platformtest.Target) {
	for _, n := range l.cluster.currentAgents() {
		if t, _ := l.cluster.Target(n); t.Holds(f) {
			return n, t
		}
	}
	return nil, nil
}

// checkOutcome checks the outcome of a request. holder is the target that held the flow when the
// request was sent, node its instance.
func (l *Load) checkOutcome(
	id string, f *platformtest.Flow, outcome platformtest.Outcome, node *Node, holder *platformtest.Target) {
	switch {
	case outcome == platformtest.WrongAnswer:
		l.RecordViolation("%s on %s received the answer to another request", id, f.ID)
	case outcome == platformtest.WasReset && holder != nil && holder.Holds(f.ID):
		at, from := f.Reset()
		sender := l.cluster.nodeAt(from)
		if l.countsFor(at, node, append(l.entriesOf(f.ID, at), sender)) {
			l.RecordViolation("%s: flow %s was reset by %s at %s although %s beside %s is alive and holds it",
				id, f.ID, sender.Name, at.Format("15:04:05.000"), holder.ID(), node.Name)
		}
	}
}

// OnMisdirected checks a flow whose packets reached other targets and never its own.
func (l *Load) OnMisdirected(m Misdirection) {
	now := time.Now()
	node, holder := l.holderOf(m.Flow)
	if holder != nil && l.countsFor(now, node, l.entriesOf(m.Flow, now)) {
		l.RecordViolation("%v; it is beside %s", &m, node.Name)
	}
}

// route returns the entry to which the fabric sends a packet of a flow, and records it.
func (l *Load) route(f steering.Flow) (netip.AddrPort, bool) {
	to, ok := l.cluster.Route(f)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sentTo[f] == nil {
		l.sentTo[f] = map[netip.Addr]time.Time{}
	}
	l.sentTo[f][to.Addr()] = time.Now()
	return to, ok
}

// entriesOf returns the entries that took packets of a flow in the stableWindow before a time.
func (l *Load) entriesOf(f steering.Flow, at time.Time) (entries []*Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, last := range l.sentTo[f] {
		if at.Sub(last) <= stableWindow {
			entries = append(entries, l.cluster.nodeAt(host))
		}
	}
	return entries
}

// ServedShare returns the share of requests completed since a time that were answered, their
// number, and the first five that were not.
func (l *Load) ServedShare(since time.Time) (share float64, total int, unanswered []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := 0
	for _, r := range l.results {
		if r.at.Before(since) || r.kind == kindBulk {
			continue
		}
		total++
		if r.ok {
			ok++
		} else if len(unanswered) < 5 {
			unanswered = append(unanswered, r.detail)
		}
	}
	if total == 0 {
		return 0, 0, nil
	}
	return float64(ok) / float64(total), total, unanswered
}

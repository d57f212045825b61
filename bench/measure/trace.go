package measure

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

// Sizes and virtual times of the comparison.
const (
	traceTargets        = 7
	traceEntries        = 5
	traceFlows          = 14000 // open at a time: 2,000 per target, as in section 10
	minFlowDuration     = 20 * time.Second
	maxFlowDuration     = 60 * time.Second
	sendInterval        = 5 * time.Second // interval between datagrams of a flow
	firstChangeAt       = 70 * time.Second
	maxPropagationDelay = 500 * time.Millisecond // until a node has received a change
	traceStep           = 20 * time.Millisecond
	newFlowWindow       = 30 * time.Second
	joinTime            = 2 * time.Second
	handOverTime        = 2 * time.Second
	lingerTime          = time.Second // between the announcement that a target has left and the end of its process
)

// traceService is the service of the comparison.
var traceService = serviceName(0).ID()

// changeKind is the kind of a change to a node.
type changeKind int

const (
	changeJoin      changeKind = iota // a target starts and is not in the hash yet
	changeReady                       // a target accepts new flows, at first or again after a drain
	changeDrain                       // a target stops accepting new flows
	changeLeave                       // a target hands over its directory
	changeLeft                        // a target announces that it has left
	changeExit                        // a target's process ends
	changeKillEntry                   // an entry is replaced by one without state
)

// change is a change to a node at a time of the trace.
type change struct {
	at   time.Duration
	kind changeKind
	node int // index of a target or an entry
}

// traceFlow is one flow of the trace.
type traceFlow struct {
	caller ident.Caller
	start  time.Duration
	end    time.Duration
}

// trace is a sequence of flows and changes that is replayed for each candidate.
type trace struct {
	name    string
	length  time.Duration
	flows   []traceFlow
	changes []change
	reports reportFault
}

// reportFault is a fault of the load reports.
type reportFault struct {
	delay    time.Duration
	zeroLoad bool // target 0 reports no connections
}

// traces returns the traces of the comparison.
func traces() []trace {
	var kill, rolling, together, many []change
	for i := range traceEntries {
		kill = append(kill, change{firstChangeAt + time.Duration(i)*10*time.Second, changeKillEntry, i})
	}
	for i := range traceTargets {
		at := firstChangeAt + time.Duration(i)*15*time.Second
		rolling = append(rolling, replaceTarget(at, i, traceTargets+i)...)
	}
	for i := range 2 {
		together = append(together, replaceTarget(firstChangeAt, i, traceTargets+i)...)
	}
	many = append(many,
		change{firstChangeAt, changeJoin, traceTargets}, change{firstChangeAt + joinTime, changeReady, traceTargets})
	for i := range 12 {
		kind := changeDrain
		if i%2 == 1 {
			kind = changeReady
		}
		many = append(many, change{firstChangeAt + time.Duration(4+4*i)*time.Second, kind, i / 2 % 3})
	}
	all := []trace{
		{name: "steady", length: 130 * time.Second},
		{name: "each entry killed in turn", length: 150 * time.Second, changes: kill},
		{name: "rolling replacement of all targets", length: 290 * time.Second, changes: rolling},
		{name: "drain and join together", length: 190 * time.Second, changes: together},
		{name: "many view changes", length: 180 * time.Second, changes: many},
		{name: "load reports 5 s old", length: 130 * time.Second, reports: reportFault{delay: 5 * time.Second}},
		{name: "one agent reports no load", length: 130 * time.Second, reports: reportFault{zeroLoad: true}},
	}
	for i := range all {
		slices.SortStableFunc(all[i].changes, func(a, b change) int { return int(a.at - b.at) })
		all[i].flows = newTraceFlows(all[i].length)
	}
	return all
}

// replaceTarget starts a new target, then drains the old one and ends it after all its flows have
// ended.
func replaceTarget(at time.Duration, old, replacement int) []change {
	drain := at + joinTime
	leave := drain + maxFlowDuration + time.Second
	return []change{
		{at, changeJoin, replacement}, {at + joinTime, changeReady, replacement}, {drain, changeDrain, old},
		{leave, changeLeave, old}, {leave + handOverTime, changeLeft, old},
		{leave + handOverTime + lingerTime, changeExit, old},
	}
}

// newTraceFlows draws random flows such that traceFlows are open on average after maxFlowDuration.
func newTraceFlows(length time.Duration) []traceFlow {
	random := rand.New(rand.NewPCG(seed, 2))
	mean := (minFlowDuration + maxFlowDuration) / 2
	count := int(float64(traceFlows) * length.Seconds() / mean.Seconds())
	flows := make([]traceFlow, count)
	for i := range flows {
		start := time.Duration(random.Int64N(int64(length)))
		duration := minFlowDuration + time.Duration(random.Int64N(int64(maxFlowDuration-minFlowDuration)))
		flows[i] = traceFlow{caller(i), start, start + duration}
	}
	return flows
}

// candidate is an algorithm that routes datagrams to targets. It calls deliver for each datagram
// that reaches a target.
type candidate interface {
	// updateEntry and updateTarget replace the pool members in the view of an entry or of a
	// target's agent.
	updateEntry(now time.Duration, entry int, members []view.Member)
	updateTarget(now time.Duration, target int, members []view.Member)
	// apply applies a change at the node itself.
	apply(now time.Duration, c change)
	handleDatagram(now time.Duration, entry int, c ident.Caller)
	endFlow(c ident.Caller)
	tick(now time.Duration)
	messageCount() int
}

// deliverFunc is called when a datagram reaches a target. hops is the number of agents that
// forwarded it to another agent.
type deliverFunc func(now time.Duration, c ident.Caller, target, hops int)

// outcome is the result of one candidate in one trace.
type outcome struct {
	flows, broken          int
	connections, newFlows  float64 // max/mean
	hops                   float64 // per datagram
	messages               float64 // per second
	datagrams, undelivered int
}

// replayer replays a trace for a candidate and records its outcome.
type replayer struct {
	trace          *trace
	states         map[int]record.State
	servedBy       map[ident.Caller]int
	broken         map[ident.Caller]bool
	version        int            // of the pool, incremented at each change
	appliedVersion map[string]int // version that a node has received, by node
	recentFlows    map[int]int    // new flows in the last newFlowWindow of the trace
	hops           int
	delivered      int
	out            outcome
	events         []event // sorted by time
}

type event struct {
	at  time.Duration
	run func(now time.Duration)
}

func targetNode(i int, state record.State) record.Node {
	n := agentNode(i, 1)
	n.State = state
	return n
}

// replay replays a trace for a candidate and returns the outcome.
func replay(t *trace, newCandidate func(deliverFunc) candidate) outcome {
	r := &replayer{
		trace: t, states: map[int]record.State{}, servedBy: map[ident.Caller]int{}, broken: map[ident.Caller]bool{},
		recentFlows: map[int]int{}, appliedVersion: map[string]int{},
	}
	c := newCandidate(r.recordDelivery)
	for i := range traceTargets {
		r.states[i] = record.Ready
	}
	r.propagate(0, c, false)
	r.schedule(c)
	var balance []float64
	next := 0
	for now := time.Duration(0); now < t.length; now += traceStep {
		for next < len(r.events) && r.events[next].at <= now {
			r.events[next].run(r.events[next].at)
			next++
		}
		c.tick(now)
		if now > t.length-10*time.Second && now%time.Second == 0 {
			balance = append(balance, r.imbalance(r.openFlows()))
		}
	}
	o := &r.out
	o.flows, o.broken = len(t.flows), len(r.broken)
	for _, b := range balance {
		o.connections += b / float64(len(balance))
	}
	o.newFlows = r.imbalance(r.recentFlows)
	o.hops = float64(r.hops) / float64(max(r.delivered, 1))
	o.messages = float64(c.messageCount()) / t.length.Seconds()
	o.undelivered = o.datagrams - r.delivered
	return *o
}

// schedule creates the events for the datagrams, the ends of flows and the changes.
func (r *replayer) schedule(c candidate) {
	add := func(at time.Duration, run func(time.Duration)) { r.events = append(r.events, event{at, run}) }
	for i := range r.trace.flows {
		f := &r.trace.flows[i]
		for n, at := uint64(0), f.start; at < min(f.end, r.trace.length); n, at = n+1, at+sendInterval {
			entry := entryOf(f.caller, n)
			add(at, func(now time.Duration) {
				r.out.datagrams++
				c.handleDatagram(now, entry, f.caller)
			})
		}
		add(f.end, func(time.Duration) {
			delete(r.servedBy, f.caller)
			c.endFlow(f.caller)
		})
	}
	for _, x := range r.trace.changes {
		add(x.at, func(now time.Duration) { r.applyChange(now, c, x) })
	}
	slices.SortStableFunc(r.events, func(a, b event) int { return int(a.at - b.at) })
}

// entryOf returns the entry of a flow's nth datagram, chosen by a hash.
func entryOf(c ident.Caller, n uint64) int {
	var b [26]byte
	copy(b[:], c[:])
	binary.BigEndian.PutUint64(b[18:], n)
	return int(xxhash.Sum64(b[:]) % traceEntries)
}

func (r *replayer) applyChange(now time.Duration, c candidate, x change) {
	switch x.kind {
	case changeJoin:
		r.states[x.node] = record.Joining
	case changeReady:
		r.states[x.node] = record.Ready
	case changeDrain:
		r.states[x.node] = record.Draining
	case changeLeft:
		delete(r.states, x.node)
	}
	c.apply(now, x)
	if x.kind == changeKillEntry {
		c.updateEntry(now, x.node, r.members())
		return
	}
	if x.kind != changeLeave && x.kind != changeExit {
		r.propagate(now, c, true)
	}
}

func (r *replayer) members() []view.Member {
	var out []view.Member
	for i, state := range r.states {
		out = append(out, view.Member{Node: targetNode(i, state), Weight: 1})
	}
	return out
}

// propagate sends the pool members to all nodes, to each with a random delay of its own if delayed.
func (r *replayer) propagate(now time.Duration, c candidate, delayed bool) {
	members := r.members()
	r.version++
	version := r.version
	random := rand.New(rand.NewPCG(seed, uint64(now)))
	// A node that has received a later version ignores an earlier one, because records never go back.
	notify := func(node string, update func(time.Duration)) {
		run := func(now time.Duration) {
			if version > r.appliedVersion[node] {
				r.appliedVersion[node] = version
				update(now)
			}
		}
		if !delayed {
			run(now)
			return
		}
		at := now + time.Duration(random.Int64N(int64(maxPropagationDelay)))
		i, _ := slices.BinarySearchFunc(r.events, at, func(e event, at time.Duration) int { return int(e.at - at) })
		r.events = slices.Insert(r.events, i, event{at, run})
	}
	for i := range traceEntries {
		notify(fmt.Sprint("entry ", i), func(now time.Duration) { c.updateEntry(now, i, members) })
	}
	for i := range 2 * traceTargets {
		if _, ok := r.states[i]; ok {
			notify(fmt.Sprint("target ", i), func(now time.Duration) { c.updateTarget(now, i, members) })
		}
	}
}

// recordDelivery records a datagram that reached a target. A flow is broken when its datagrams
// reach another target than before.
func (r *replayer) recordDelivery(now time.Duration, c ident.Caller, target, hops int) {
	r.delivered++
	r.hops += hops
	before, known := r.servedBy[c]
	if known && before != target {
		r.broken[c] = true
	}
	if !known && now > r.trace.length-newFlowWindow {
		r.recentFlows[target]++
	}
	r.servedBy[c] = target
}

// openFlows returns the number of open flows by target.
func (r *replayer) openFlows() map[int]int {
	out := map[int]int{}
	for _, target := range r.servedBy {
		out[target]++
	}
	return out
}

// imbalance returns the largest count divided by the mean, over the targets that accept new flows.
func (r *replayer) imbalance(counts map[int]int) float64 {
	total, largest, targets := 0, 0, 0
	for i, state := range r.states {
		if state != record.Ready {
			continue
		}
		targets++
		total += counts[i]
		largest = max(largest, counts[i])
	}
	if total == 0 {
		return 0
	}
	return float64(largest*targets) / float64(total)
}

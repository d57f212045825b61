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

// Sizes and times of the comparison, in virtual time.
const (
	traceTargets  = 7
	traceEntries  = 5
	traceFlows    = 14000 // open at a time: 2,000 per target, as in section 10
	shortestFlow  = 20 * time.Second
	longestFlow   = 60 * time.Second
	sendEvery     = 5 * time.Second // between datagrams of a flow
	changesFrom   = 70 * time.Second
	learnAtMost   = 500 * time.Millisecond // until a node learns of a change
	traceStep     = 20 * time.Millisecond
	newFlowWindow = 30 * time.Second
	joinTime      = 2 * time.Second
	handOverTime  = 2 * time.Second
	lingerTime    = time.Second // between the announcement of a target that left and its end
)

// traceService is the service of the comparison.
var traceService = serviceName(0).ID()

// changeKind is what happens to a node.
type changeKind int

const (
	changeJoin      changeKind = iota // a target starts and is not hashed yet
	changeReady                       // it takes new flows, or does so again after a drain
	changeDrain                       // it gets no new flows
	changeLeave                       // it hands over what it knows
	changeGone                        // it announces that it left
	changeEnd                         // its process ends
	changeKillEntry                   // an entry dies and an empty one takes its place
)

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

// trace is what happens to the pool, the same for every candidate.
type trace struct {
	name    string
	length  time.Duration
	flows   []traceFlow
	changes []change
	reports reportFault
}

// reportFault is what is wrong with the load reports.
type reportFault struct {
	late  time.Duration
	wrong bool // target 0 reports no connections
}

// traces returns the rows of the comparison.
func traces() []trace {
	var kill, rolling, together, many []change
	for i := range traceEntries {
		kill = append(kill, change{changesFrom + time.Duration(i)*10*time.Second, changeKillEntry, i})
	}
	for i := range traceTargets {
		at := changesFrom + time.Duration(i)*15*time.Second
		rolling = append(rolling, replace(at, i, traceTargets+i)...)
	}
	for i := range 2 {
		together = append(together, replace(changesFrom, i, traceTargets+i)...)
	}
	many = append(many, change{changesFrom, changeJoin, traceTargets}, change{changesFrom + joinTime, changeReady, traceTargets})
	for i := range 12 {
		kind := changeDrain
		if i%2 == 1 {
			kind = changeReady
		}
		many = append(many, change{changesFrom + time.Duration(4+4*i)*time.Second, kind, i / 2 % 3})
	}
	all := []trace{
		{name: "steady", length: 130 * time.Second},
		{name: "each entry killed in turn", length: 150 * time.Second, changes: kill},
		{name: "rolling replacement of all targets", length: 290 * time.Second, changes: rolling},
		{name: "drain and join together", length: 190 * time.Second, changes: together},
		{name: "many view changes", length: 180 * time.Second, changes: many},
		{name: "load reports 5 s old", length: 130 * time.Second, reports: reportFault{late: 5 * time.Second}},
		{name: "one agent reports no load", length: 130 * time.Second, reports: reportFault{wrong: true}},
	}
	for i := range all {
		slices.SortStableFunc(all[i].changes, func(a, b change) int { return int(a.at - b.at) })
		all[i].flows = flowsFor(all[i].length)
	}
	return all
}

// replace starts a new target, then drains the old one until its flows have ended.
func replace(at time.Duration, old, fresh int) []change {
	drain := at + joinTime
	leave := drain + longestFlow + time.Second
	return []change{
		{at, changeJoin, fresh}, {at + joinTime, changeReady, fresh}, {drain, changeDrain, old},
		{leave, changeLeave, old}, {leave + handOverTime, changeGone, old}, {leave + handOverTime + lingerTime, changeEnd, old},
	}
}

// flowsFor draws flows that keep traceFlows open on average from longestFlow on.
func flowsFor(length time.Duration) []traceFlow {
	random := rand.New(rand.NewPCG(seed, 2))
	mean := (shortestFlow + longestFlow) / 2
	count := int(float64(traceFlows) * length.Seconds() / mean.Seconds())
	flows := make([]traceFlow, count)
	for i := range flows {
		start := time.Duration(random.Int64N(int64(length)))
		life := shortestFlow + time.Duration(random.Int64N(int64(longestFlow-shortestFlow)))
		flows[i] = traceFlow{caller(i), start, start + life}
	}
	return flows
}

// candidate is a way to give datagrams to targets. It calls deliver for each datagram that reaches one.
type candidate interface {
	// learn tells an entry, or the agent of a target, of the pool.
	learnEntry(now time.Duration, entry int, members []view.Member)
	learnTarget(now time.Duration, target int, members []view.Member)
	// apply carries out a change at the node itself.
	apply(now time.Duration, c change)
	datagram(now time.Duration, entry int, c ident.Caller)
	ended(c ident.Caller)
	tick(now time.Duration)
	messages() int
}

// deliver is called when a datagram reaches a target, after passing so many agents.
type deliver func(now time.Duration, c ident.Caller, target, hops int)

// outcome is what one candidate did in one trace.
type outcome struct {
	flows, broken           int
	connections, newFlows   float64 // max/mean
	hops                    float64 // per datagram
	messages                float64 // per second
	datagrams, undeliveredD int
}

// runner plays a trace to a candidate and judges what it does.
type runner struct {
	trace     *trace
	states    map[int]record.State
	owner     map[ident.Caller]int
	broken    map[ident.Caller]bool
	version   int            // of the pool
	learnt    map[string]int // version by node
	recent    map[int]int    // new flows in the last newFlowWindow of the trace
	hops      int
	delivered int
	out       outcome
	events    []scheduled // sorted by time
}

type scheduled struct {
	at  time.Duration
	run func(now time.Duration)
}

func targetNode(i int, state record.State) record.Node {
	n := agentNode(i, 1)
	n.State = state
	return n
}

// play runs a trace.
func play(t *trace, make func(deliver) candidate) outcome {
	r := &runner{
		trace: t, states: map[int]record.State{}, owner: map[ident.Caller]int{}, broken: map[ident.Caller]bool{}, recent: map[int]int{},
		learnt: map[string]int{},
	}
	c := make(r.deliver)
	for i := range traceTargets {
		r.states[i] = record.Ready
	}
	r.spread(0, c, false)
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
			balance = append(balance, r.imbalance(r.open()))
		}
	}
	o := &r.out
	o.flows, o.broken = len(t.flows), len(r.broken)
	for _, b := range balance {
		o.connections += b / float64(len(balance))
	}
	o.newFlows = r.imbalance(r.recent)
	o.hops = float64(r.hops) / float64(max(r.delivered, 1))
	o.messages = float64(c.messages()) / t.length.Seconds()
	o.undeliveredD = o.datagrams - r.delivered
	return *o
}

// schedule puts the datagrams, ends of flows and changes in order.
func (r *runner) schedule(c candidate) {
	add := func(at time.Duration, run func(time.Duration)) { r.events = append(r.events, scheduled{at, run}) }
	for i := range r.trace.flows {
		f := &r.trace.flows[i]
		for n, at := uint64(0), f.start; at < min(f.end, r.trace.length); n, at = n+1, at+sendEvery {
			entry := entryOf(f.caller, n)
			add(at, func(now time.Duration) {
				r.out.datagrams++
				c.datagram(now, entry, f.caller)
			})
		}
		add(f.end, func(time.Duration) {
			delete(r.owner, f.caller)
			c.ended(f.caller)
		})
	}
	for _, x := range r.trace.changes {
		add(x.at, func(now time.Duration) { r.change(now, c, x) })
	}
	slices.SortStableFunc(r.events, func(a, b scheduled) int { return int(a.at - b.at) })
}

// entryOf draws the entry of a flow's nth datagram.
func entryOf(c ident.Caller, n uint64) int {
	var b [26]byte
	copy(b[:], c[:])
	binary.BigEndian.PutUint64(b[18:], n)
	return int(xxhash.Sum64(b[:]) % traceEntries)
}

func (r *runner) change(now time.Duration, c candidate, x change) {
	switch x.kind {
	case changeJoin:
		r.states[x.node] = record.Joining
	case changeReady:
		r.states[x.node] = record.Ready
	case changeDrain:
		r.states[x.node] = record.Draining
	case changeGone:
		delete(r.states, x.node)
	}
	c.apply(now, x)
	if x.kind == changeKillEntry {
		c.learnEntry(now, x.node, r.members())
		return
	}
	if x.kind != changeLeave && x.kind != changeEnd {
		r.spread(now, c, true)
	}
}

func (r *runner) members() []view.Member {
	var out []view.Member
	for i, state := range r.states {
		out = append(out, view.Member{Node: targetNode(i, state), Weight: 1})
	}
	return out
}

// spread tells every node of the pool, each after a delay of its own.
func (r *runner) spread(now time.Duration, c candidate, delayed bool) {
	members := r.members()
	r.version++
	version := r.version
	random := rand.New(rand.NewPCG(seed, uint64(now)))
	// A node that learnt of a later change ignores an earlier one, as records never go back.
	tell := func(node string, told func(time.Duration)) {
		run := func(now time.Duration) {
			if version > r.learnt[node] {
				r.learnt[node] = version
				told(now)
			}
		}
		if !delayed {
			run(now)
			return
		}
		at := now + time.Duration(random.Int64N(int64(learnAtMost)))
		i, _ := slices.BinarySearchFunc(r.events, at, func(e scheduled, at time.Duration) int { return int(e.at - at) })
		r.events = slices.Insert(r.events, i, scheduled{at, run})
	}
	for i := range traceEntries {
		tell(fmt.Sprint("entry ", i), func(now time.Duration) { c.learnEntry(now, i, members) })
	}
	for i := range 2 * traceTargets {
		if _, ok := r.states[i]; ok {
			tell(fmt.Sprint("target ", i), func(now time.Duration) { c.learnTarget(now, i, members) })
		}
	}
}

// deliver judges a datagram that reached a target. A flow is broken when another target than before gets its datagrams.
func (r *runner) deliver(now time.Duration, c ident.Caller, target, hops int) {
	r.delivered++
	r.hops += hops
	before, known := r.owner[c]
	if known && before != target {
		r.broken[c] = true
	}
	if !known && now > r.trace.length-newFlowWindow {
		r.recent[target]++
	}
	r.owner[c] = target
}

// open returns the number of open flows by target.
func (r *runner) open() map[int]int {
	out := map[int]int{}
	for _, target := range r.owner {
		out[target]++
	}
	return out
}

// imbalance is the largest count divided by the mean, over the targets that take new flows.
func (r *runner) imbalance(counts map[int]int) float64 {
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

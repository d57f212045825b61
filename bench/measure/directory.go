package measure

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"lacewinglever.dev/policy/flow"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/placement"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

const (
	traceIdle   = 12 * time.Second // idle timeout of flows, so that one datagram may be lost
	linkAtMost  = 10 * time.Millisecond
	reportEvery = 250 * time.Millisecond
)

// directory is the design: policy/flow and policy/placement at the agents, with messages that take up to linkAtMost. With blind, every home
// owns its flows.
type directory struct {
	deliver   deliver
	blind     bool
	fault     reportFault
	index     map[ident.NodeID]int
	entries   [traceEntries]*view.View
	agents    map[int]*traceAgent
	random    *rand.Rand
	queue     links
	sequence  int
	sent      int
	snapshots []map[int]uint32 // connections by target, one per reportEvery
	reported  time.Duration
}

type traceAgent struct {
	table   *flow.Table
	placer  *placer
	chooser *placement.Chooser
	view    *view.View
}

// placer places load-aware. In a blind directory it places on this agent, unless that drains.
type placer struct {
	chooser *placement.Chooser
	self    ident.NodeID
	blind   bool
	drains  bool
}

// Place chooses the owner of a new flow.
func (p *placer) Place(own int) (ident.NodeID, bool) {
	if p.blind && !p.drains {
		return p.self, true
	}
	return p.chooser.Place(own)
}

type link struct {
	at       time.Duration
	sequence int
	run      func(now time.Duration)
}

type links []link

func (l links) Len() int { return len(l) }
func (l links) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].sequence < l[j].sequence
}
func (l links) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push adds a message.
func (l *links) Push(x any) { *l = append(*l, x.(link)) }

// Pop removes the last message.
func (l *links) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

func newDirectory(t *trace, blind bool) func(deliver) candidate {
	return func(deliver deliver) candidate {
		d := &directory{
			deliver: deliver, blind: blind, fault: t.reports, index: indexes(), agents: map[int]*traceAgent{}, random: rand.New(rand.NewPCG(seed, 3)),
		}
		for i := range traceTargets {
			d.start(0, i)
		}
		return d
	}
}

func (d *directory) start(now time.Duration, target int) {
	id := targetNode(target, record.Ready).ID
	chooser := placement.New(id, seed)
	p := &placer{chooser: chooser, self: id, blind: d.blind}
	options := flow.Options{Self: id, Service: traceService, Placer: p, Seed: seed}
	d.agents[target] = &traceAgent{table: flow.New(options, now, traceIdle), placer: p, chooser: chooser}
}

func (d *directory) learnEntry(_ time.Duration, entry int, members []view.Member) {
	d.entries[entry] = view.Build(d.entries[entry], traceService, view.DefaultSlots, members)
}

func (d *directory) learnTarget(now time.Duration, target int, members []view.Member) {
	a := d.agents[target]
	if a == nil {
		return
	}
	a.view = view.Build(a.view, traceService, view.DefaultSlots, members)
	a.table.SetView(now, a.view)
	d.report(a)
}

func (d *directory) apply(now time.Duration, c change) {
	switch c.kind {
	case changeJoin:
		d.start(now, c.node)
	case changeReady, changeDrain:
		a := d.agents[c.node]
		a.table.SetDraining(c.kind == changeDrain)
		a.placer.drains = c.kind == changeDrain
	case changeLeave:
		a := d.agents[c.node]
		var rest []view.Member
		for _, m := range a.view.Members {
			if d.index[m.Node.ID] != c.node {
				rest = append(rest, m)
			}
		}
		a.table.HandOver(view.Build(nil, traceService, view.DefaultSlots, rest))
	case changeEnd:
		delete(d.agents, c.node)
	case changeGone: // the views tell
	case changeKillEntry: // entries hold nothing
	}
}

func (d *directory) ended(ident.Caller) {}
func (d *directory) messages() int      { return d.sent }

func (d *directory) datagram(now time.Duration, entry int, c ident.Caller) {
	v := d.entries[entry]
	m, ok := v.Home(flowHash(c))
	if !ok {
		return
	}
	d.link(now, func(now time.Duration) {
		d.arrive(now, flow.Datagram{
			Service: traceService, Destination: m.Node.ID, Caller: c, Entry: ident.NodeID(1 + entry), View: v.Digest, Payload: []byte{1},
		})
	})
}

func (d *directory) link(now time.Duration, run func(time.Duration)) {
	d.sequence++
	heap.Push(&d.queue, link{now + time.Duration(d.random.Int64N(int64(linkAtMost))) + 1, d.sequence, run})
}

func (d *directory) arrive(now time.Duration, x flow.Datagram) {
	a := d.agents[d.index[x.Destination]]
	if a == nil {
		return
	}
	var out flow.Effects
	decision := a.table.HandleDatagram(now, &x, &out)
	d.carryOut(now, x, decision)
	d.perform(now, x.Destination, &out)
}

func (d *directory) carryOut(now time.Duration, x flow.Datagram, decision flow.Decision) {
	switch decision.Action {
	case flow.Deliver:
		d.deliver(now, x.Caller, d.index[x.Destination], int(x.Hops))
	case flow.Forward:
		from := x.Destination
		x.Sender, x.Destination, x.Hops, x.Placed = from, decision.To, decision.Hops, decision.Placed
		x.View = d.agents[d.index[from]].view.Digest
		d.link(now, func(now time.Duration) { d.arrive(now, x) })
	}
}

func (d *directory) perform(now time.Duration, from ident.NodeID, out *flow.Effects) {
	for _, r := range out.Released {
		d.carryOut(now, r.Datagram, r.Decision)
	}
	for _, s := range out.Outgoing {
		d.sent++
		d.link(now, func(now time.Duration) {
			to := d.agents[d.index[s.To]]
			if to == nil {
				return
			}
			var effects flow.Effects
			to.table.HandleMessage(now, from, s.Message, &effects)
			d.perform(now, s.To, &effects)
		})
	}
}

// tick delivers what is due and lets the agents work. Load reports are exchanged every reportEvery.
func (d *directory) tick(now time.Duration) {
	for len(d.queue) > 0 && d.queue[0].at <= now {
		x := heap.Pop(&d.queue).(link)
		x.run(x.at)
	}
	for i := range 2 * traceTargets {
		if a := d.agents[i]; a != nil {
			var out flow.Effects
			a.table.Tick(now, &out)
			d.perform(now, targetNode(i, record.Ready).ID, &out)
		}
	}
	if now < d.reported+reportEvery {
		return
	}
	d.reported = now
	snapshot := map[int]uint32{}
	for i, a := range d.agents {
		snapshot[i] = uint32(a.table.OwnedFlows())
	}
	d.snapshots = append(d.snapshots, snapshot)
	for i := range 2 * traceTargets {
		if a := d.agents[i]; a != nil {
			d.report(a)
		}
	}
}

// report gives an agent the load reports that it has now.
func (d *directory) report(a *traceAgent) {
	if len(d.snapshots) == 0 || a.view == nil {
		return
	}
	number := max(0, len(d.snapshots)-1-int(d.fault.late/reportEvery))
	var reports []placement.Report
	for i := range a.view.Members {
		n := &a.view.Members[i].Node
		target := d.index[n.ID]
		connections := d.snapshots[number][target]
		if d.fault.wrong && target == 0 {
			connections = 0
		}
		reports = append(reports, placement.Report{
			Node: n.ID, Weight: 1, Connections: connections, WarmPerMille: 1000, Eligible: n.State == record.Ready, Sequence: uint64(number + 1),
		})
	}
	a.chooser.Update(reports)
}

package measure

import (
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

// readyView returns a view of the targets that accept new flows.
func readyView(members []view.Member) *view.View {
	var out []view.Member
	for _, m := range members {
		if m.Node.State == record.Ready {
			out = append(out, m)
		}
	}
	return view.Build(nil, traceService, view.DefaultSlots, out)
}

// targetIndexes maps the node ids of agents to the indexes of their targets.
func targetIndexes() map[ident.NodeID]int {
	out := map[ident.NodeID]int{}
	for i := range 2 * traceTargets {
		out[targetNode(i, record.Ready).ID] = i
	}
	return out
}

func flowHash(c ident.Caller) uint64 { return ident.FlowKey{Service: traceService, Caller: c}.Hash() }

// plainHash sends each datagram to the home of its flow among the targets that accept new flows
// according to the entry's view.
type plainHash struct {
	deliver     deliverFunc
	targetIndex map[ident.NodeID]int
	views       [traceEntries]*view.View
}

func newPlainHash(d deliverFunc) candidate {
	return &plainHash{deliver: d, targetIndex: targetIndexes()}
}

func (p *plainHash) updateEntry(_ time.Duration, entry int, members []view.Member) {
	p.views[entry] = readyView(members)
}
func (p *plainHash) updateTarget(time.Duration, int, []view.Member) {}
func (p *plainHash) apply(time.Duration, change)                    {}
func (p *plainHash) endFlow(ident.Caller)                           {}
func (p *plainHash) tick(time.Duration)                             {}
func (p *plainHash) messageCount() int                              { return 0 }

func (p *plainHash) choose(entry int, c ident.Caller) (int, bool) {
	m, ok := p.views[entry].Home(flowHash(c))
	if !ok {
		return 0, false
	}
	return p.targetIndex[m.Node.ID], true
}

func (p *plainHash) handleDatagram(now time.Duration, entry int, c ident.Caller) {
	if target, ok := p.choose(entry, c); ok {
		p.deliver(now, c, target, 0)
	}
}

// entryTables keeps a flow table in each entry, with the target of each flow whose datagrams the
// entry has forwarded. A target remains usable until its process has ended.
type entryTables struct {
	plainHash
	tables [traceEntries]map[ident.Caller]int
	exited map[int]bool
}

func newEntryTables(d deliverFunc) candidate {
	e := &entryTables{plainHash: plainHash{deliver: d, targetIndex: targetIndexes()}, exited: map[int]bool{}}
	for i := range e.tables {
		e.tables[i] = map[ident.Caller]int{}
	}
	return e
}

func (e *entryTables) apply(_ time.Duration, c change) {
	switch c.kind {
	case changeKillEntry:
		e.tables[c.node] = map[ident.Caller]int{}
	case changeExit:
		e.exited[c.node] = true
	}
}

func (e *entryTables) endFlow(c ident.Caller) {
	for i := range e.tables {
		delete(e.tables[i], c)
	}
}

func (e *entryTables) handleDatagram(now time.Duration, entry int, c ident.Caller) {
	target, known := e.tables[entry][c]
	if !known || e.exited[target] {
		var ok bool
		if target, ok = e.choose(entry, c); !ok {
			return
		}
		e.tables[entry][c] = target
	}
	e.deliver(now, c, target, 0)
}

// generations sends a datagram to the home in the entry's current view. A target without the flow
// forwards it to the home in the previous view if that target has the flow.
type generations struct {
	plainHash
	previous [traceEntries]*view.View
	owners   map[ident.Caller]int
	exited   map[int]bool
}

func newGenerations(d deliverFunc) candidate {
	return &generations{
		plainHash: plainHash{deliver: d, targetIndex: targetIndexes()}, owners: map[ident.Caller]int{}, exited: map[int]bool{},
	}
}

func (g *generations) updateEntry(_ time.Duration, entry int, members []view.Member) {
	next := readyView(members)
	if g.views[entry] != nil && g.views[entry].Digest == next.Digest {
		return
	}
	g.previous[entry], g.views[entry] = g.views[entry], next
}

func (g *generations) apply(_ time.Duration, c change) {
	switch c.kind {
	case changeExit:
		g.exited[c.node] = true
	case changeKillEntry: // the replacement gets both views
	}
}

func (g *generations) endFlow(c ident.Caller) { delete(g.owners, c) }

func (g *generations) handleDatagram(now time.Duration, entry int, c ident.Caller) {
	target, ok := g.choose(entry, c)
	if !ok {
		return
	}
	owner, known := g.owners[c]
	if known && owner != target && g.previous[entry] != nil {
		if m, ok := g.previous[entry].Home(flowHash(c)); ok && g.targetIndex[m.Node.ID] == owner && !g.exited[owner] {
			g.deliver(now, c, owner, 1)
			return
		}
	}
	g.owners[c] = target
	g.deliver(now, c, target, 0)
}

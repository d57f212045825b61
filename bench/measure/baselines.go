package measure

import (
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

// ready returns a view of the targets that take new flows.
func ready(members []view.Member) *view.View {
	var out []view.Member
	for _, m := range members {
		if m.Node.State == record.Ready {
			out = append(out, m)
		}
	}
	return view.Build(nil, traceService, view.DefaultSlots, out)
}

// indexes maps node ids to indexes of targets.
func indexes() map[ident.NodeID]int {
	out := map[ident.NodeID]int{}
	for i := range 2 * traceTargets {
		out[targetNode(i, record.Ready).ID] = i
	}
	return out
}

func flowHash(c ident.Caller) uint64 { return ident.FlowKey{Service: traceService, Caller: c}.Hash() }

// plainHash sends each datagram to the home of its flow among the targets that take new flows, as its entry knows them.
type plainHash struct {
	deliver deliver
	index   map[ident.NodeID]int
	views   [traceEntries]*view.View
}

func newPlainHash(d deliver) candidate { return &plainHash{deliver: d, index: indexes()} }

func (p *plainHash) learnEntry(_ time.Duration, entry int, members []view.Member) {
	p.views[entry] = ready(members)
}
func (p *plainHash) learnTarget(time.Duration, int, []view.Member) {}
func (p *plainHash) apply(time.Duration, change)                   {}
func (p *plainHash) ended(ident.Caller)                            {}
func (p *plainHash) tick(time.Duration)                            {}
func (p *plainHash) messages() int                                 { return 0 }

func (p *plainHash) choose(entry int, c ident.Caller) (int, bool) {
	m, ok := p.views[entry].Home(flowHash(c))
	if !ok {
		return 0, false
	}
	return p.index[m.Node.ID], true
}

func (p *plainHash) datagram(now time.Duration, entry int, c ident.Caller) {
	if target, ok := p.choose(entry, c); ok {
		p.deliver(now, c, target, 0)
	}
}

// entryTables keeps the target of each flow in the entry that forwarded its datagrams. A target stays usable until it is gone.
type entryTables struct {
	plainHash
	tables [traceEntries]map[ident.Caller]int
	gone   map[int]bool
}

func newEntryTables(d deliver) candidate {
	e := &entryTables{plainHash: plainHash{deliver: d, index: indexes()}, gone: map[int]bool{}}
	for i := range e.tables {
		e.tables[i] = map[ident.Caller]int{}
	}
	return e
}

func (e *entryTables) apply(_ time.Duration, c change) {
	switch c.kind {
	case changeKillEntry:
		e.tables[c.node] = map[ident.Caller]int{}
	case changeEnd:
		e.gone[c.node] = true
	}
}

func (e *entryTables) ended(c ident.Caller) {
	for i := range e.tables {
		delete(e.tables[i], c)
	}
}

func (e *entryTables) datagram(now time.Duration, entry int, c ident.Caller) {
	target, known := e.tables[entry][c]
	if !known || e.gone[target] {
		var ok bool
		if target, ok = e.choose(entry, c); !ok {
			return
		}
		e.tables[entry][c] = target
	}
	e.deliver(now, c, target, 0)
}

// generations sends a datagram to the home under the entry's table. A target that doesn't know the flow passes it to the home under the
// table before, if that target knows it.
type generations struct {
	plainHash
	earlier [traceEntries]*view.View
	known   map[ident.Caller]int
	gone    map[int]bool
}

func newGenerations(d deliver) candidate {
	return &generations{plainHash: plainHash{deliver: d, index: indexes()}, known: map[ident.Caller]int{}, gone: map[int]bool{}}
}

func (g *generations) learnEntry(_ time.Duration, entry int, members []view.Member) {
	next := ready(members)
	if g.views[entry] != nil && g.views[entry].Digest == next.Digest {
		return
	}
	g.earlier[entry], g.views[entry] = g.views[entry], next
}

func (g *generations) apply(_ time.Duration, c change) {
	switch c.kind {
	case changeEnd:
		g.gone[c.node] = true
	case changeKillEntry: // the new entry learns both tables
	}
}

func (g *generations) ended(c ident.Caller) { delete(g.known, c) }

func (g *generations) datagram(now time.Duration, entry int, c ident.Caller) {
	target, ok := g.choose(entry, c)
	if !ok {
		return
	}
	owner, known := g.known[c]
	if known && owner != target && g.earlier[entry] != nil {
		if m, ok := g.earlier[entry].Home(flowHash(c)); ok && g.index[m.Node.ID] == owner && !g.gone[owner] {
			g.deliver(now, c, owner, 1)
			return
		}
	}
	g.known[c] = target
	g.deliver(now, c, target, 0)
}

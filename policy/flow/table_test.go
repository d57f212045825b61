package flow

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

// owners sends a datagram of each flow to every agent and returns who got them.
func (n *network) owners(flows int, m []view.Member) map[ident.Caller]map[ident.NodeID]bool {
	seen := map[ident.Caller]map[ident.NodeID]bool{}
	n.delivered = func(c ident.Caller, at ident.NodeID) {
		if seen[c] == nil {
			seen[c] = map[ident.NodeID]bool{}
		}
		seen[c][at] = true
	}
	for i := range flows {
		for j := range m {
			n.inject(caller(i), m[j].Node.ID)
			n.advance(40 * time.Millisecond)
		}
	}
	n.advance(time.Second)
	return seen
}

// Guards against flows that end with two owners after loss, delay, doubling, reordering and views that differ for a while.
func TestOneOwnerInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const flows = 6
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		all := members(rapid.IntRange(2, 5).Draw(t, "agents"))
		for _, m := range all {
			n.add(m.Node.ID, time.Hour)
		}
		n.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		n.double = rapid.Float64Range(0, 0.3).Draw(t, "double")
		n.delay = time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond
		for _, id := range n.order {
			n.setView(id, all[:rapid.IntRange(1, len(all)).Draw(t, "first view")])
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			at := n.order[rapid.IntRange(0, len(all)-1).Draw(t, "agent")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				first := rapid.IntRange(0, len(all)-1).Draw(t, "from")
				n.setView(at, all[first:])
			default:
				n.inject(caller(rapid.IntRange(0, flows-1).Draw(t, "flow")), at)
			}
			n.advance(time.Duration(rapid.SampledFrom([]int{20, 20, 100, 100, 1000, 11000}).Draw(t, "pause")) * time.Millisecond)
		}
		n.setViews(all)
		n.loss, n.double = 0, 0
		n.advance(15 * time.Second)
		n.owners(flows, all) // lets the homes learn of flows that they never saw
		n.advance(5 * time.Second)
		for c, at := range n.owners(flows, all) {
			assert.Equal(t, len(at), 1, "flow %s is delivered at %v", c, at)
		}
	})
}

// Guards against a planned join or leave moving an established flow, whatever the order in which the agents and entries learn of it.
func TestPlannedChangesKeepFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const flows = 8
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		n.double = 0.1
		all := members(5)
		pool := all[:4]
		for _, m := range pool {
			n.add(m.Node.ID, time.Hour)
		}
		n.setViews(pool)
		first := map[ident.Caller]ident.NodeID{}
		n.delivered = func(c ident.Caller, at ident.NodeID) {
			if owner, ok := first[c]; ok && owner != at {
				t.Fatalf("flow %s of %s was delivered at %s", c, owner, at)
			}
			first[c] = at
		}
		traffic := func(agents int, pause time.Duration) {
			for range 2 * flows {
				n.inject(caller(n.rand.IntN(flows)), all[n.rand.IntN(agents)].Node.ID)
				n.advance(pause)
			}
		}
		spread := func(m []view.Member) {
			for _, id := range n.order {
				n.after(time.Duration(n.rand.IntN(1500))*time.Millisecond, func() { n.setView(id, m) })
			}
		}
		if rapid.Bool().Draw(t, "settled") {
			n.advance(12 * time.Second)
		}
		traffic(4, 60*time.Millisecond)

		joining := append(append([]view.Member{}, pool...), testMember(4, record.Joining))
		joiner := n.add(all[4].Node.ID, time.Hour)
		spread(joining)
		for range 100 {
			n.advance(20 * time.Millisecond)
			if len(joiner.state.Load().view.Members) == 5 && joiner.HasAllRegistrations() {
				break
			}
		}
		assert.Assert(t, joiner.HasAllRegistrations())
		spread(all)
		traffic(5, 100*time.Millisecond)

		// An agent that owns nothing drains and leaves.
		leaver := rapid.IntRange(0, 4).Draw(t, "leaver")
		id := all[leaver].Node.ID
		for _, owner := range first {
			if owner == id {
				return
			}
		}
		n.unused[id] = true
		n.tables[id].SetDraining(true)
		draining := append([]view.Member{}, all...)
		draining[leaver].Node.State = record.Draining
		spread(draining)
		traffic(5, 100*time.Millisecond)
		rest := append(append([]view.Member{}, all[:leaver]...), all[leaver+1:]...)
		n.tables[id].HandOver(view.Build(nil, testService, 256, rest))
		n.advance(time.Second)
		assert.Assert(t, n.tables[id].HandedOver())
		spread(rest)
		traffic(5, 100*time.Millisecond)
		delete(n.tables, id)
		traffic(5, 100*time.Millisecond)
	})
}

// Guards against the loss of one agent breaking flows of others, such as those that it was home of.
func TestCrashBreaksOnlyOwnFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const flows = 12
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		all := members(4)
		for _, m := range all {
			n.add(m.Node.ID, time.Hour)
		}
		n.setViews(all)
		if rapid.Bool().Draw(t, "settled") {
			n.advance(12 * time.Second)
		}
		dead := ident.NodeID(0)
		owner := map[ident.Caller]ident.NodeID{}
		n.delivered = func(c ident.Caller, at ident.NodeID) {
			if before, ok := owner[c]; ok && before != at && before != dead {
				t.Fatalf("flow %s of %s was delivered at %s", c, before, at)
			}
			owner[c] = at
		}
		for i := range flows {
			n.inject(caller(i), n.order[n.rand.IntN(4)])
			n.advance(time.Duration(rapid.IntRange(20, 400).Draw(t, "pause")) * time.Millisecond)
		}
		n.advance(time.Second)
		dead = n.order[rapid.IntRange(0, 3).Draw(t, "dead")]
		delete(n.tables, dead)
		n.unused[dead] = true
		var rest []view.Member
		for _, m := range all {
			if m.Node.ID != dead {
				rest = append(rest, m)
			}
		}
		for _, m := range rest {
			n.after(time.Duration(n.rand.IntN(3000))*time.Millisecond, func() { n.setView(m.Node.ID, rest) })
		}
		for range 4 * flows {
			n.inject(caller(n.rand.IntN(flows)), rest[n.rand.IntN(3)].Node.ID)
			n.advance(100 * time.Millisecond)
		}
	})
}

func single(t testing.TB, now time.Duration) *Table {
	t.Helper()
	self := testMember(0, record.Ready)
	place := placerFunc(func(int) (ident.NodeID, bool) { return self.Node.ID, true })
	table := New(Options{Self: self.Node.ID, Service: testService, Placer: place}, 0, time.Minute)
	table.SetView(now, view.Build(nil, testService, 256, []view.Member{self}))
	return table
}

func to(t *Table, c ident.Caller) *Datagram {
	return &Datagram{Service: testService, Destination: t.options.Self, Caller: c, Entry: 99, Payload: []byte{1}}
}

// Guards against a datagram of one service reaching the target of another.
func TestWrongDestinationIsDropped(t *testing.T) {
	table := single(t, 0)
	var out Effects
	for _, change := range []func(*Datagram){func(d *Datagram) { d.Service++ }, func(d *Datagram) { d.Destination++ }} {
		d := to(table, caller(1))
		change(d)
		assert.Equal(t, table.HandleDatagram(0, d, &out), Decision{Reason: WrongDestination})
	}
	assert.Equal(t, table.OwnedFlows(), 0)
}

// Guards against an answer for an ended flow reaching the caller of the flow that has its slot next.
func TestSlotIsNotReusedEarly(t *testing.T) {
	table := single(t, 0)
	var out Effects
	first := table.HandleDatagram(0, to(table, caller(1)), &out)
	now := 62 * time.Second
	for range shards {
		table.Tick(now, &out)
	}
	assert.Equal(t, table.OwnedFlows(), 0)
	_, _, ok := table.LookupSlot(now, first.Slot)
	assert.Assert(t, !ok)
	for i := range 2000 {
		assert.Assert(t, table.HandleDatagram(now+9*time.Second, to(table, caller(2+i)), &out).Slot != first.Slot)
	}
}

// Guards against an agent that was frozen, and taken for dead, opening flows a second time when it wakes.
func TestUnsettledAfterPause(t *testing.T) {
	table := single(t, 0)
	table.SetView(0, view.Build(nil, testService, 256, members(2)))
	var out Effects
	var c ident.Caller
	for i := 0; ; i++ {
		c = caller(i)
		if _, home := table.Explain(c); home == table.options.Self {
			break
		}
	}
	for now := time.Duration(0); now < 11*time.Second; now += 100 * time.Millisecond {
		table.Tick(now, &out)
	}
	assert.Assert(t, table.Settled(11*time.Second))
	assert.Equal(t, table.HandleDatagram(15*time.Second, to(table, c), &out).Action, Hold)
	table.Tick(15*time.Second, &out)
	assert.Assert(t, !table.Settled(15*time.Second))
}

// Guards against a flow that costs more than the bound of 128 bytes.
func TestMemoryPerFlow(t *testing.T) {
	const flows = 100_000
	var before, after runtime.MemStats
	table := single(t, 0)
	var out Effects
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range flows {
		table.HandleDatagram(0, to(table, caller(i)), &out)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, table.OwnedFlows(), flows)
	perFlow := float64(after.HeapAlloc-before.HeapAlloc) / flows
	t.Logf("%.1f bytes per flow", perFlow)
	assert.Assert(t, perFlow <= 128)
	runtime.KeepAlive(table)
}

// Guards against an allocation per datagram, and shows that the cost does not grow with the pool.
func BenchmarkKnownFlow(b *testing.B) {
	for _, pool := range []int{7, 2300} {
		b.Run(fmt.Sprint(pool), func(b *testing.B) {
			table := single(b, 0)
			all := members(pool)
			table.SetView(0, view.Build(nil, testService, view.MaxSlots, all))
			var out Effects
			datagrams := make([]*Datagram, 100_000)
			for i := range datagrams {
				datagrams[i] = to(table, caller(i))
				datagrams[i].Placed = true
				table.HandleDatagram(0, datagrams[i], &out)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.HandleDatagram(time.Second, datagrams[i*7919%len(datagrams)], &out)
			}
		})
	}
}

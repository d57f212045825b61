package flowsearch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/flowsearch"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

var flow = steering.Flow{CallerPort: 1}

const ms = time.Millisecond // of test times

func TestKnowledgeGrowsWithTheProgress(t *testing.T) {
	table := flowsearch.New()
	assert.DeepEqual(t, table.Lookup(0, flow), flowsearch.Knowledge{})
	table.RecordSent(0, flow, 1, false)
	assert.DeepEqual(t, table.Lookup(50*ms, flow), flowsearch.Knowledge{Repeats: 1, Recent: true})
	assert.DeepEqual(t, table.Lookup(200*ms, flow), flowsearch.Knowledge{Repeats: 1, Overdue: true, Recent: true})
	table.RecordSent(200*ms, flow, 1, true)
	table.RecordProgress(202*ms, flow, 2, 3) // overtakes that of 1
	table.RecordProgress(203*ms, flow, 1, 2)
	assert.DeepEqual(t, table.Lookup(250*ms, flow),
		flowsearch.Knowledge{Repeats: 2, Overdue: true, Tried: []ident.NodeID{2, 1}, Recent: true})
	assert.DeepEqual(t, table.Lookup(600*ms, flow),
		flowsearch.Knowledge{Repeats: 2, Overdue: true, Tried: []ident.NodeID{2, 1}, Silent: []ident.NodeID{3}, Recent: true})
	table.RecordSent(600*ms, flow, 4, true)
	table.RecordProgress(601*ms, flow, 4, 0)
	table.RecordSent(602*ms, flow, 5, true)
	table.RecordSent(603*ms, flow, 3, true)
	assert.DeepEqual(t, table.Lookup(1000*ms, flow).Silent, []ident.NodeID{5, 3})
	table.RecordProgress(1001*ms, flow, 3, 0) // late
	assert.DeepEqual(t, table.Lookup(1001*ms, flow).Tried, []ident.NodeID{2, 1, 4, 3})
	table.Restart(1001*ms, flow)
	assert.DeepEqual(t, table.Lookup(1002*ms, flow), flowsearch.Knowledge{Repeats: 5, Overdue: true, Recent: true})
	assert.DeepEqual(t, table.Lookup(2001*ms, flow), flowsearch.Knowledge{Repeats: 5, Overdue: true})
	started, ok := table.End(flow)
	assert.Assert(t, ok && started == 0)
	_, ok = table.End(flow)
	assert.Assert(t, !ok)
}

// Guards against memory that grows with the number of flows that callers make up, or with messages of other nodes.
func TestMemoryIsBounded(t *testing.T) {
	table := flowsearch.New()
	kept := 0
	for i := range 100_000 {
		f := steering.Flow{CallerIP: [4]byte{1, byte(i >> 16)}, CallerPort: uint16(i)}
		table.RecordProgress(0, f, 1, 2)
		table.RecordSent(0, f, 1, true)
		if table.Lookup(0, f).Repeats > 0 {
			kept++
		}
	}
	assert.Assert(t, kept <= 4096 && kept > 2048, "%d", kept)
	table.Expire(time.Minute)
	table.RecordSent(time.Minute, flow, 1, true)
	for i := range ident.NodeID(10_000) {
		table.RecordProgress(time.Minute, flow, 10_000+i, 30_000+i)
	}
	known := table.Lookup(time.Minute+time.Second, flow)
	assert.Equal(t, len(known.Tried), flowsearch.MaxTried)
	assert.Equal(t, len(known.Silent), flowsearch.MaxSilent)
	assert.DeepEqual(t, table.Lookup(2*time.Minute, flow), flowsearch.Knowledge{})
}

// pool is a service with an entry that searches for the owner of a flow.
type pool struct {
	agents   []roster.Peer
	silent   map[ident.NodeID]bool // swallow packets
	previous map[ident.NodeID]bool // run the previous release: they send no progress and pass on only what was tried
	lost     func() bool           // whether the next message of an agent to the entry is lost
	owner    ident.NodeID          // 0 if no target holds the flow
	table    *flowsearch.Table
	received map[ident.NodeID]int // packets by agent
}

// Results of a packet in a pool.
const (
	swallowed = "swallowed"
	found     = "found"
	held      = "held"
	reset     = "reset"
)

// send sends a packet of the flow into the pool and returns its result.
func (p *pool) send(now time.Duration) string {
	known := p.table.Lookup(now, flow)
	asked := steering.Asked{Tried: known.Tried, Remembered: len(known.Tried), Silent: known.Silent}
	from, progress := ident.NodeID(0), known.Overdue // from the entry
	for {
		index, result, next := steering.Next(now, p.agents, asked, true)
		asked = next
		switch result {
		case steering.NotFound:
			return reset
		case steering.Unknown:
			if from != 0 && progress && !p.lost() {
				p.table.RecordProgress(now, flow, from, 0)
			}
			return held
		}
		to := p.agents[index].ID
		if from == 0 {
			if asked.Remembered < len(known.Tried) {
				p.table.Restart(now, flow)
			}
			p.table.RecordSent(now, flow, to, known.Overdue)
		} else if progress && !p.lost() {
			p.table.RecordProgress(now, flow, from, to)
		}
		if p.silent[to] {
			return swallowed
		}
		if to == p.owner {
			return found
		}
		p.received[to]++
		asked.Tried = append(slices.Clone(asked.Tried), to)
		from = to
		if p.previous[to] {
			asked, progress = steering.Asked{Tried: asked.Tried}, false
		}
	}
}

// retransmissions are the times at which a caller sends a packet that isn't answered.
var retransmissions = []time.Duration{0, 200 * ms, 600 * ms, 1400 * ms, 3000 * ms, 4600 * ms, 6200 * ms, 7800 * ms}

func newPool(random *rand.Rand, n int) *pool {
	p := &pool{table: flowsearch.New(), silent: map[ident.NodeID]bool{}, received: map[ident.NodeID]int{},
		previous: map[ident.NodeID]bool{}, lost: func() bool { return false }}
	for i := range n {
		peer := roster.Peer{Node: roster.Node{ID: ident.NodeID(i + 1)}, HeartbeatSeen: true}
		peer.LastSeen = time.Minute // live all the while
		p.agents = append(p.agents, peer)
	}
	random.Shuffle(n, func(i, j int) { p.agents[i], p.agents[j] = p.agents[j], p.agents[i] })
	return p
}

// Guards against a search that doesn't arrive because an agent on its way swallows the packets: with one such agent,
// the owner gets the third packet, and no other target gets more than two.
func TestSearchPassesSilentAgents(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		p := newPool(random, 2+random.IntN(30))
		p.owner = p.agents[random.IntN(len(p.agents))].ID
		silent := 1 + random.IntN(min(4, len(p.agents)-1))
		for len(p.silent) < silent {
			if id := p.agents[random.IntN(len(p.agents))].ID; id != p.owner {
				p.silent[id] = true
			}
		}
		for i, now := range retransmissions {
			result := p.send(now)
			if result == found {
				break
			}
			assert.Equal(t, result, swallowed, "seed %d", seed)
			assert.Assert(t, i < 1+silent, "seed %d: packet %d is swallowed", seed, i)
		}
		for id, n := range p.received {
			assert.Assert(t, n <= 2, "seed %d: agent %d got %d packets", seed, id, n)
		}
	}
}

// Guards against searches that pass one silent agent with each retransmission only: the callers' next packet comes too
// late if there are several. The entry sends a packet past them without waiting for the caller.
func TestStalledSearchesContinue(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 4))
		p := newPool(random, 8+random.IntN(20))
		p.owner = p.agents[random.IntN(len(p.agents))].ID
		for range 6 {
			if id := p.agents[random.IntN(len(p.agents))].ID; id != p.owner {
				p.silent[id] = true
			}
		}
		if p.send(0) == found {
			continue
		}
		now := retransmissions[1]
		for result := p.send(now); result != found; result = p.send(now) {
			for p.table.State(now, flow) == flowsearch.Waiting {
				now += ms
			}
			assert.Equal(t, p.table.State(now, flow), flowsearch.Stalled, "seed %d", seed)
			assert.Assert(t, now < 900*ms, "seed %d: not found", seed)
		}
		p.table.End(flow)
		assert.Equal(t, p.table.State(now, flow), flowsearch.Ended)
	}
}

// Guards against packets that are sent past an agent that holds one until the agent of the flow's target is back.
func TestHeldPacketsDontStall(t *testing.T) {
	table := flowsearch.New()
	table.RecordSent(0, flow, 1, false)
	table.RecordSent(200*ms, flow, 1, true)
	table.RecordProgress(201*ms, flow, 1, 2)
	assert.Equal(t, table.State(250*ms, flow), flowsearch.Waiting)
	assert.Equal(t, table.State(400*ms, flow), flowsearch.Stalled)
	table.RecordSent(400*ms, flow, 3, true)
	table.RecordProgress(401*ms, flow, 3, 0)
	assert.Equal(t, table.State(time.Second, flow), flowsearch.Waiting)
	table.RecordProgress(time.Second, flow, 3, 4) // it no longer holds the packet
	assert.Equal(t, table.State(2*time.Second, flow), flowsearch.Stalled)
}

// Guards against retransmissions that are shown to all other targets while the agent of the flow's target is away, and
// against resets of that flow.
func TestSearchWaitsForAnAgentThatIsAway(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 2))
		p := newPool(random, 2+random.IntN(30))
		away := &p.agents[random.IntN(len(p.agents))]
		p.owner, away.Leaving = away.ID, true
		for i, now := range retransmissions {
			if i == 5 {
				away.Leaving = false
				assert.Equal(t, p.send(now), found, "seed %d", seed)
				break
			}
			assert.Equal(t, p.send(now), held, "seed %d", seed)
		}
		for id, n := range p.received {
			assert.Assert(t, n <= 2, "seed %d: agent %d got %d packets", seed, id, n)
		}
	}
}

// Guards against resets of a flow whose target is alive, with agents that fall silent, return, go away or run the
// previous release, and messages that get lost; and against a flow that no target holds and that is never reset.
func TestSearchesEndInTheRightWay(t *testing.T) {
	for seed := range uint64(5000) {
		random := rand.New(rand.NewPCG(seed, 3))
		p := newPool(random, 1+random.IntN(12))
		p.lost = func() bool { return random.IntN(4) == 0 }
		for i := range p.agents {
			p.previous[p.agents[i].ID] = seed%2 == 0 && random.IntN(2) == 0
		}
		if random.IntN(4) > 0 {
			p.owner = p.agents[random.IntN(len(p.agents))].ID
		}
		for now := time.Duration(0); now < 10*time.Second; now += time.Duration(random.IntN(1500)) * ms {
			for i := range p.agents {
				switch id := p.agents[i].ID; random.IntN(10) {
				case 0:
					p.silent[id] = !p.silent[id]
				case 1:
					p.agents[i].Leaving = !p.agents[i].Leaving
				}
			}
			result := p.send(now)
			assert.Assert(t, p.owner == 0 || result != reset, "seed %d: reset at %v", seed, now)
			if result == found {
				p.table.End(flow)
			}
		}
		clear(p.silent)
		for i := range p.agents {
			p.agents[i].Leaving = false
		}
		want := found
		if p.owner == 0 {
			want = reset
		}
		assert.Equal(t, p.send(12*time.Second), want, "seed %d", seed)
	}
}

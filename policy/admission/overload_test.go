package admission_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/admission"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// kind is a kind of requests, as in section 1 of docs/design/capacity-and-locality.md: pension
// statements, a third of it. Each request opens a flow.
type kind struct {
	routes.Route
	rate  float64 // per second
	work  time.Duration
	worth float64
}

const ms = time.Millisecond

func route(priority int, objective, timeout time.Duration) routes.Route {
	return routes.Route{Priority: priority, Objective: objective, Timeout: timeout,
		Shares: []routes.Share{{Service: "s", Weight: 1}}}
}

var kinds = []kind{
	{route(0, 300*ms, 1500*ms), 325 / 3., 29 * ms, 2},  // update
	{route(1, 300*ms, 1200*ms), 1138 / 3., 22 * ms, 1}, // lookup
	{route(2, 800*ms, 4000*ms), 98 / 3., 5 * ms, 1},    // download
}

const update, lookup, download = 0, 1, 2

var names = []string{"update", "lookup", "download"}

// table returns the routes of the kinds, with equal priorities if equal.
func table(equal bool) *routes.Table {
	t := &routes.Table{Routes: map[netip.AddrPort]routes.Route{}}
	for i, k := range kinds {
		if equal {
			k.Priority = 0
		}
		t.Routes[steering.Flow{ServicePort: uint16(i)}.Service()] = k.Route
	}
	return t
}

// call is a request of a caller, with its present attempt.
type call struct {
	kind             int
	began, attempted time.Duration // first attempt, present attempt
	retries          int
	flow             steering.Flow
	left             time.Duration // of its work
	ended            bool          // answered or given up
	running          bool          // a target has the flow
}

// node is an entry, or an agent with its target.
type node struct {
	admission *admission.Controller
	held      *holding.Queue[*call]
	queue     []*call // at the target
}

// outcome is what became of the requests of one kind that began in the burst.
type outcome struct {
	requests, inTime, late, shed int
	refused, noChance            int // attempts, those of them for lack of room
	atOnce                       int // attempts that were refused before they cost anything
}

func (o outcome) share() float64 { return float64(o.inTime) / float64(o.requests) }

func newNode() *node {
	return &node{admission: admission.New(), held: holding.NewQueue[*call]()}
}

type pool struct {
	table           *routes.Table
	peers           []roster.Peer
	entries, agents []*node
	now             time.Duration
	flows           uint32
	outcomes        [3]outcome
	refusedWithRoom int
}

const (
	slots, targetQueue = 2, 8
	reportInterval     = 50 * ms // at which agents announce a change of the load
	entries            = 4
	begin, end         = 2000 * ms, 6000 * ms // of the burst
)

// worth returns the worth of all answers.
func (p *pool) worth() (sum float64) {
	for i, o := range p.outcomes {
		sum += kinds[i].worth * (float64(o.inTime) + 0.3*float64(o.late))
	}
	return sum
}

// decide decides about a packet at a node. fits looks for room.
func (p *pool) decide(n *node, item *holding.Item[*call], fits func(steering.Requirements) bool) bool {
	c := item.Value
	route, _ := p.table.Lookup(c.flow.Service())
	offer := admission.Offer{Flow: c.flow, Service: "s", Route: route, Age: p.now - c.attempted}
	late := steering.MissesObjective(offer.Age, route.Objective, 25*ms)
	for _, at := range []time.Duration{200 * ms, 600 * ms} {
		if item.Arrived-c.attempted >= at {
			offer.Copy++
		}
	}
	if item.Arrived == p.now {
		n.admission.RecordOffered(p.now, p.table, offer, true)
	}
	in := n.admission.Input(p.now, p.table, offer)
	in.Late = late
	in.CountWaiting(n.held.Waiting())
	in.Slots = slots
	if n.queue == nil {
		in.Slots, in.Ahead = slots*len(p.agents), 0
	}
	in.HasRoom = fits(in.Restrict(steering.Requirements{Origin: "dc-0", CapacityWait: item.CapacityWait(p.now), Late: late}))
	n.admission.RecordRoom(p.now, &in)
	switch decision, reason := in.Decide(); decision {
	case admission.Admit:
		n.admission.RecordAdmitted(p.now, c.flow, &in)
		return true
	case admission.Refuse:
		o := &p.outcomes[c.kind]
		o.refused++
		if reason == admission.ReasonNoChance {
			o.noChance++
		}
		if p.now-c.attempted < kinds[c.kind].Objective/4 {
			o.atOnce++
		}
		idle := 0
		for _, a := range p.agents {
			idle += max(0, slots-len(a.queue))
		}
		// A quarter of the slots is idle for a moment now and then. An agent knows whether its own are.
		if reason == admission.ReasonNoChance && (idle > slots*len(p.agents)/4 || n.queue != nil && len(n.queue) < slots) {
			p.refusedWithRoom++
		}
		p.attempt(c, true)
	case admission.Wait:
		item.Rank = in.Rank()
		item.MarkNoCapacity(p.now)
		item.Flow = c.flow
		item.HoldTime = []time.Duration{200 * ms, 400 * ms, 800 * ms}[offer.Copy]
		n.held.Put(p.now, *item)
	}
	return false
}

// place decides about a packet at an entry.
func (p *pool) place(n *node, item *holding.Item[*call]) {
	if item.Value.ended || item.Value.running {
		return
	}
	at := -1
	steering.Rank(item.Value.flow.Hash(), "dc-0", p.peers)
	if p.decide(n, item, func(r steering.Requirements) bool {
		at = steering.Place(p.now, r, p.peers)
		return at >= 0
	}) {
		p.peers[at].RecordPlacement(p.now)
		p.deliver(p.agents[p.peers[at].ID], &holding.Item[*call]{Arrived: p.now, Value: item.Value})
	}
}

// deliver decides about a packet at an agent.
func (p *pool) deliver(a *node, item *holding.Item[*call]) {
	c := item.Value
	if c.ended || c.running || !p.decide(a, item, func(r steering.Requirements) bool { return r.Fits(float64(len(a.queue)), slots) }) {
		return
	}
	if len(a.queue) >= slots+targetQueue {
		p.outcomes[c.kind].shed++
		p.attempt(c, true)
		return
	}
	c.running = true
	a.queue = append(a.queue, c)
}

// attempt begins an attempt of a caller, if it has one left.
func (p *pool) attempt(c *call, again bool) {
	if again {
		c.retries++
	}
	if c.retries > 2 || p.now-c.began >= kinds[c.kind].Timeout {
		c.ended = true
		return
	}
	p.flows++
	c.attempted = p.now
	c.flow = steering.Flow{CallerIP: [4]byte{byte(p.flows >> 16)}, CallerPort: uint16(p.flows), ServicePort: uint16(c.kind)}
	p.place(p.entries[p.flows%uint32(len(p.entries))], &holding.Item[*call]{Arrived: p.now, Value: c})
}

// play plays 2 s of the usual load, then 4 s in which the kind at burst arrives factor times as often.
// All of it comes on the given number of targets. equal is whether all routes have the same priority.
func play(t *testing.T, targets int, factor [3]float64, equal bool) *pool {
	random := rand.New(rand.NewPCG(1, 2))
	p := &pool{table: table(equal)}
	for i := range targets {
		p.peers = append(p.peers, roster.Peer{Node: roster.Node{ID: ident.NodeID(i), DataCentre: "dc-0"}, HeartbeatSeen: true,
			Heartbeat: roster.Heartbeat{Target: roster.Target{Accepting: true, Slots: slots}}})
		p.agents = append(p.agents, newNode())
		p.agents[i].queue = []*call{}
	}
	for range entries {
		p.entries = append(p.entries, newNode())
	}
	var calls []*call
	for ; p.now < end+4000*ms; p.now += ms {
		for _, a := range p.agents {
			unfinished := a.queue[:0]
			for i, c := range a.queue {
				if i < slots {
					c.left -= ms
				}
				if c.left > 0 {
					unfinished = append(unfinished, c)
					continue
				}
				c.ended = true
				if o := &p.outcomes[c.kind]; c.began >= begin && c.began < end {
					switch took := p.now - c.began; {
					case took <= kinds[c.kind].Objective:
						o.inTime++
					case took <= kinds[c.kind].Timeout:
						o.late++
					}
				}
			}
			a.queue = unfinished
		}
		for i := range p.peers {
			peer := &p.peers[i]
			peer.LastSeen = p.now
			if p.now%reportInterval == 0 {
				peer.Target.Busy = float64(len(p.agents[peer.ID].queue))
			}
		}
		if p.now%holding.RetryInterval == 0 {
			for _, n := range p.entries {
				for _, item := range n.held.Take() {
					p.place(n, &item)
				}
			}
			for _, a := range p.agents {
				for _, item := range a.held.Take() {
					p.deliver(a, &item)
				}
			}
		}
		current := calls[:0]
		for _, c := range calls { // copies, and the end of attempts
			switch age := p.now - c.attempted; {
			case c.ended:
				continue
			case c.running:
			case age == 200*ms || age == 600*ms:
				p.place(p.entries[c.flow.Hash()%entries], &holding.Item[*call]{Arrived: p.now, Value: c})
			case age == admission.AttemptTime:
				p.attempt(c, true)
			}
			current = append(current, c)
		}
		calls = current
		for i, k := range kinds {
			rate := k.rate
			if p.now >= begin && p.now < end {
				rate *= factor[i]
			}
			for n := rate/1000 + random.Float64(); n >= 1 && p.now < end; n-- {
				c := &call{kind: i, began: p.now, left: k.work}
				if p.now >= begin {
					p.outcomes[i].requests++
				}
				calls = append(calls, c)
				p.attempt(c, false)
			}
		}
	}
	for i, o := range p.outcomes {
		t.Logf("%d targets, burst %v, equal %v, %s: %+v", targets, factor, equal, names[i], o)
	}
	return p
}

// Guards against bursts of one kind that make the requests of a higher priority late, after the loss of
// a part of the pool. The usual load takes 12 slots.
func TestHigherPriorityIsServedInBursts(t *testing.T) {
	for _, c := range []struct {
		targets int
		factor  [3]float64
	}{
		{10, [3]float64{1, 2.6, 1}}, {7, [3]float64{1, 1.6, 1}}, {7, [3]float64{2.6, 1, 1}}, {4, [3]float64{1, 1, 2.6}},
	} {
		before, after := play(t, c.targets, c.factor, true), play(t, c.targets, c.factor, false)
		o := after.outcomes[update]
		assert.Assert(t, before.outcomes[update].share() < 0.95, "the pool isn't short")
		assert.Assert(t, o.share() > 0.99, "%d targets, burst %v: %+v", c.targets, c.factor, o)
		assert.Assert(t, after.worth() > before.worth(), "%v, before %v", after.worth(), before.worth())
	}
}

// Guards against a lowest priority that gets no room while higher ones could use all of it: without the
// guaranteed share, hardly any download was answered in the smaller pool.
func TestLowestPriorityIsNotStarved(t *testing.T) {
	for _, targets := range []int{7, 4} {
		o := play(t, targets, [3]float64{2.6, 1, 1}, false).outcomes[download]
		assert.Assert(t, float64(o.inTime+o.late) > 0.9*float64(o.requests) && o.share() > 0.6, "%+v", o)
	}
}

// Guards against refusals that are held back, and against ones while slots are idle or waiting helps.
func TestRefusalsComeAtOnceAndOnlyWithoutRoom(t *testing.T) {
	short := play(t, 7, [3]float64{2.6, 1, 1}, false)
	o := short.outcomes[lookup]
	assert.Assert(t, o.noChance > 50 && o.atOnce == o.noChance, "the others are past their time limit: %+v", o)
	assert.Equal(t, short.outcomes[update].refused, 0)
	assert.Assert(t, short.refusedWithRoom <= o.noChance/50, "%d, loads at entries are estimates", short.refusedWithRoom)
	for _, o := range play(t, 10, [3]float64{2.6, 1, 1}, false).outcomes {
		assert.Equal(t, o.refused, 0, "the pool bears the load")
		assert.Equal(t, o.inTime, o.requests)
	}
}

package admission_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/admission"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

const ms = time.Millisecond

// kinds are a third of the pension statements of section 1 of docs/design/capacity-and-locality.md. Each
// request opens a flow.
var kinds = []struct {
	routes.Route
	rate  float64 // per second
	work  time.Duration
	worth float64
}{
	update:   {route(0, 300*ms, 1500*ms), 325 / 3., 29 * ms, 2},
	lookup:   {route(1, 300*ms, 1200*ms), 1138 / 3., 22 * ms, 1},
	download: {route(2, 800*ms, 4000*ms), 98 / 3., 5 * ms, 1},
}

const update, lookup, download = 0, 1, 2

func route(priority int, objective, timeout time.Duration) routes.Route {
	return routes.Route{Priority: priority, Objective: objective, Timeout: timeout,
		Shares: []routes.Share{{Service: "s", Weight: 1}}}
}

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
	kind, retries, copy         int
	began, attempted, remaining time.Duration
	flow                        steering.Flow
	running, ended              bool
}

// outcome is what became of the requests of one kind that began in the burst.
type outcome struct {
	requests, inTime, late int
	refused, noChance      int // attempts
	atOnce                 int // attempts that were refused before they cost anything
}

func (o outcome) share() float64 { return float64(o.inTime) / float64(o.requests) }

// agent is an agent with its target.
type agent struct {
	*admission.Controller
	held  *holding.Queue[*call]
	queue []*call // at the target
}

type pool struct {
	table           *routes.Table
	agents          []*agent
	now             time.Duration
	flows           uint32
	outcomes        [3]outcome
	refusedWithRoom int
}

const (
	slots, targetQueue = 2, 8
	begin, end         = 2000 * ms, 6000 * ms // of the burst
)

// send sends a copy of an opening packet to the least loaded of three agents.
func (p *pool) send(c *call) {
	var best *agent
	for i := range uint64(3) {
		if a := p.agents[(c.flow.Hash()>>(16*i))%uint64(len(p.agents))]; best == nil || len(a.queue) < len(best.queue) {
			best = a
		}
	}
	p.decide(best, &holding.Item[*call]{Flow: c.flow, Arrived: p.now, Value: c,
		HoldTime: []time.Duration{200 * ms, 400 * ms, 800 * ms}[c.copy]})
}

// decide decides about a packet at an agent.
func (p *pool) decide(a *agent, item *holding.Item[*call]) {
	c := item.Value
	if c.running || c.ended || item.Flow != c.flow {
		return
	}
	o, k := &p.outcomes[c.kind], &kinds[c.kind]
	route, _ := p.table.Lookup(c.flow.Service())
	offer := admission.Offer{Flow: c.flow, Service: "s", Route: route, Copy: c.copy, Age: p.now - c.attempted,
		ValidFor: item.HoldTime}
	if item.Arrived == p.now {
		a.RecordOffered(p.now, p.table, offer, true)
	}
	in := a.Input(p.now, p.table, offer)
	in.Late, in.Slots = steering.MissesObjective(offer.Age, k.Objective, k.work), slots
	in.CountWaiting(a.held.Waiting())
	r := in.Restrict(steering.Requirements{CapacityWait: item.CapacityWait(p.now), Late: in.Late})
	in.HasRoom = r.Fits(float64(len(a.queue)), slots)
	a.RecordRoom(p.now, &in)
	switch decision, reason := in.Decide(); {
	case decision == admission.Wait:
		item.Rank = in.Rank()
		item.MarkNoCapacity(p.now)
		a.held.Put(p.now, *item)
	case decision == admission.Refuse:
		o.refused++
		if reason == admission.ReasonNoChance {
			o.noChance++
		}
		if offer.Age < k.Objective/4 {
			o.atOnce++
		}
		if reason == admission.ReasonNoChance && len(a.queue) < slots {
			p.refusedWithRoom++
		}
		p.attempt(c)
	case len(a.queue) >= slots+targetQueue: // the target sheds it
		p.attempt(c)
	default:
		a.RecordAdmitted(p.now, c.flow, &in)
		c.running = true
		a.queue = append(a.queue, c)
	}
}

// attempt begins the next attempt of a caller, if it has one left.
func (p *pool) attempt(c *call) {
	if c.ended = c.retries == 3 || p.now-c.began >= kinds[c.kind].Timeout; c.ended {
		return
	}
	p.flows++
	c.retries++
	c.attempted, c.copy = p.now, 0
	c.flow = steering.Flow{CallerIP: [4]byte{byte(p.flows >> 16)}, CallerPort: uint16(p.flows), ServicePort: uint16(c.kind)}
	p.send(c)
}

// serve works for a millisecond at an agent's target.
func (p *pool) serve(a *agent) {
	unfinished := a.queue[:0]
	for i, c := range a.queue {
		if i < slots {
			c.remaining -= ms
		}
		if c.remaining > 0 {
			unfinished = append(unfinished, c)
			continue
		}
		o, took := &p.outcomes[c.kind], p.now-c.began
		c.ended = true
		switch {
		case c.began < begin:
		case took <= kinds[c.kind].Objective:
			o.inTime++
		case took <= kinds[c.kind].Timeout:
			o.late++
		}
	}
	a.queue = unfinished
}

// play plays 2 s of the usual load, then 4 s in which each kind arrives factor times as often, and
// returns the worth of the answers. equal is whether all routes have the same priority.
func play(t *testing.T, targets int, factor [3]float64, equal bool) (p *pool, worth float64) {
	random := rand.New(rand.NewPCG(1, 2))
	p = &pool{table: table(equal)}
	for range targets {
		p.agents = append(p.agents, &agent{Controller: admission.New(), held: holding.NewQueue[*call](), queue: []*call{}})
	}
	var calls []*call
	for ; p.now < end+4000*ms; p.now += ms {
		for _, a := range p.agents {
			a.RecordRunning(p.now)
			if p.serve(a); p.now%holding.RetryInterval == 0 {
				for _, item := range a.held.Take() {
					p.decide(a, &item)
				}
			}
		}
		current := calls[:0]
		for _, c := range calls {
			switch age := p.now - c.attempted; {
			case c.ended:
				continue
			case c.running:
			case age == 200*ms || age == 600*ms:
				c.copy++
				p.send(c)
			case age == admission.AttemptTime:
				p.attempt(c)
			}
			current = append(current, c)
		}
		calls = current
		for i, k := range kinds {
			if p.now >= begin {
				k.rate *= factor[i]
			}
			for n := k.rate/1000 + random.Float64(); n >= 1 && p.now < end; n-- {
				if p.now >= begin {
					p.outcomes[i].requests++
				}
				calls = append(calls, &call{kind: i, began: p.now, remaining: k.work})
				p.attempt(calls[len(calls)-1])
			}
		}
	}
	for i, o := range p.outcomes {
		t.Logf("%d targets, burst %v, equal %v, priority %d: %+v", targets, factor, equal, i, o)
		worth += kinds[i].worth * (float64(o.inTime) + 0.3*float64(o.late))
	}
	return p, worth
}

// Guards against bursts of one kind that make the requests of a higher priority late, after the loss of
// a part of the pool. The usual load takes 12 slots.
func TestHigherPriorityIsServedInBursts(t *testing.T) {
	for targets, factor := range map[int][3]float64{9: {1, 2.6, 1}, 7: {1, 1.6, 1}, 6: {2.6, 1, 1}, 4: {1, 1, 2.6}} {
		before, worthBefore := play(t, targets, factor, true)
		after, worth := play(t, targets, factor, false)
		assert.Assert(t, before.outcomes[update].share() < 0.95, "the pool isn't short")
		assert.Assert(t, after.outcomes[update].share() > 0.99, "%d targets, burst %v", targets, factor)
		assert.Assert(t, worth > worthBefore, "%v, before %v", worth, worthBefore)
	}
}

// Guards against a lowest priority that gets no room while higher ones could use all of it, and against
// refusals that are held back, while the target has room, or while the pool bears the load.
func TestLowestPriorityIsNotStarvedAndRefusalsComeAtOnce(t *testing.T) {
	p, _ := play(t, 4, [3]float64{2.6, 1, 1}, false)
	o := p.outcomes[download]
	assert.Assert(t, float64(o.inTime+o.late) > 0.9*float64(o.requests) && o.share() > 0.6, "%+v", o)
	o = p.outcomes[lookup]
	assert.Assert(t, o.noChance > 50 && o.atOnce == o.noChance, "the others are past their time limit: %+v", o)
	assert.Equal(t, p.refusedWithRoom+p.outcomes[update].refused, 0)
	p, _ = play(t, 10, [3]float64{2.6, 1, 1}, false)
	for _, o := range p.outcomes {
		assert.Equal(t, o.refused+o.requests-o.inTime, 0)
	}
}

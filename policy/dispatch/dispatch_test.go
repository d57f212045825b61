package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
)

var start = time.Unix(1000, 0)

// deadline of the simulated requests, after which an attempt counts as failed.
const deadline = 2 * time.Second

// pool is a simulation of targets with a service time each and no load reports.
type pool struct {
	d       *Dispatcher
	targets []Candidate
	service []time.Duration
	done    []completion
	chosen  []int
}

type completion struct {
	at     time.Time
	ticket Ticket
	result Result
}

func newPool(n int) *pool {
	r := rand.New(rand.NewPCG(1, 2))
	p := &pool{d: New("dc1", r.IntN), service: make([]time.Duration, n), chosen: make([]int, n)}
	for i := range n {
		p.targets = append(p.targets, Candidate{ID: ident.NodeID(i), DataCentre: "dc1", Usable: true, Load: Load{Slots: 3, WarmFraction: 1}})
		p.service[i] = 50 * time.Millisecond
	}
	return p
}

// run offers a request each 10 ms for a time, and counts choices from zero.
func (p *pool) run(from time.Time, length time.Duration) time.Time {
	clear(p.chosen)
	now := from
	for ; now.Before(from.Add(length)); now = now.Add(10 * time.Millisecond) {
		p.complete(now)
		ticket, reason := p.d.Choose(now, p.targets, nil, time.Second)
		if reason != Chosen {
			continue
		}
		i := int(ticket.Target)
		p.chosen[i]++
		c := completion{at: now.Add(p.service[i]), ticket: ticket}
		if p.service[i] > deadline {
			c.at, c.result = now.Add(deadline), Failure
		}
		p.done = append(p.done, c)
	}
	return now
}

func (p *pool) complete(now time.Time) {
	var later []completion
	for _, c := range p.done {
		if c.at.After(now) {
			later = append(later, c)
			continue
		}
		p.d.RecordResult(now, c.ticket, c.result)
	}
	p.done = later
}

// Guards against a target that turns slow, or stops answering, but stays "healthy" keeping its work for more than 3 s, against it being
// shut out after it recovered, and against it getting its whole share back at once.
func TestSlowTargetLosesWork(t *testing.T) {
	for _, slow := range []time.Duration{500 * time.Millisecond, time.Hour} {
		p := newPool(7)
		now := p.run(start, 5*time.Second)
		assert.Assert(t, p.chosen[3] > 40, "share while healthy: %v", p.chosen)
		p.service[3] = slow
		now = p.run(now, 3*time.Second)
		now = p.run(now, 5*time.Second)
		assert.Assert(t, p.chosen[3] <= 5, "share while slow: %v", p.chosen)
		p.service[3] = 50 * time.Millisecond
		now = p.run(now, maxEjection)
		_ = p.run(now, 10*time.Second)
		assert.Assert(t, p.chosen[3] > 100, "share after recovery: %v", p.chosen)
	}
}

// Guards against new work for targets that must not get any, and against a target in another data centre being taken while the own one has
// a free slot, or left out when it finishes sooner.
func TestChoice(t *testing.T) {
	free := Load{Reported: start, Slots: 2, WarmFraction: 1, Latency: 100 * time.Millisecond}
	full := Load{Reported: start, Slots: 2, WarmFraction: 1, Latency: 100 * time.Millisecond, Busy: 2}
	shedding := free
	shedding.Shedding = true
	cold := free
	cold.WarmFraction, cold.Busy = 0.5, 1
	for name, c := range map[string]struct {
		pool   []Candidate
		want   ident.NodeID
		reason Reason
	}{
		"none":       {nil, 0, NoUsableTarget},
		"not usable": {[]Candidate{{ID: 1, DataCentre: "dc1", Load: free}}, 0, NoUsableTarget},
		"shedding":   {[]Candidate{{ID: 1, DataCentre: "dc1", Usable: true, Load: shedding}}, 0, NoUsableTarget},
		"own data centre": {[]Candidate{
			{ID: 1, DataCentre: "dc2", Usable: true, Load: free}, {ID: 2, DataCentre: "dc1", Usable: true, Load: free},
		}, 2, Chosen},
		"spills": {[]Candidate{
			{ID: 1, DataCentre: "dc2", Usable: true, Load: free, RoundTrip: 10 * time.Millisecond}, {ID: 2, DataCentre: "dc1", Usable: true, Load: full},
		}, 1, Chosen},
		"does not spill far": {[]Candidate{
			{ID: 1, DataCentre: "dc2", Usable: true, Load: free, RoundTrip: time.Second}, {ID: 2, DataCentre: "dc1", Usable: true, Load: full},
		}, 2, Chosen},
		"cold has fewer slots": {[]Candidate{
			{ID: 1, DataCentre: "dc1", Usable: true, Load: cold}, {ID: 2, DataCentre: "dc1", Usable: true, Load: free},
		}, 2, Chosen},
	} {
		got, reason := New("dc1", rand.IntN).Choose(start, c.pool, nil, time.Minute)
		assert.Equal(t, got.Target, c.want, name)
		assert.Equal(t, reason, c.reason, name)
	}
}

// Guards against a burst between two load reports all going to the target that was idle in the last one, and against work being queued that
// can't be finished in time.
func TestLocalAccounting(t *testing.T) {
	load := Load{Reported: start, Slots: 2, WarmFraction: 1, Latency: 100 * time.Millisecond}
	targets := []Candidate{{ID: 1, DataCentre: "dc1", Usable: true, Load: load}, {ID: 2, DataCentre: "dc1", Usable: true, Load: load}}
	d := New("dc1", rand.IntN)
	chosen := map[ident.NodeID]int{}
	for range 4 {
		ticket, _ := d.Choose(start, targets, nil, time.Second)
		chosen[ticket.Target]++
	}
	assert.DeepEqual(t, chosen, map[ident.NodeID]int{1: 2, 2: 2})
	_, reason := d.Choose(start, targets, nil, 10*time.Millisecond)
	assert.Equal(t, reason, WouldMissDeadline)
}

// Guards against an agent that refuses connections being chosen again, which spends the retry budget on it.
func TestUnreachableLosesWorkAtOnce(t *testing.T) {
	p := newPool(2)
	ticket, _ := p.d.Choose(start, p.targets, nil, time.Second)
	p.d.RecordResult(start, ticket, Unreachable)
	_ = p.run(start, firstEjection)
	assert.Equal(t, p.chosen[ticket.Target], 0)
}

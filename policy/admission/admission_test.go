package admission_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/admission"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/steering"
)

// offerAt records a first packet with a flow of its own and returns the input of its decision.
func offerAt(c *admission.Controller, now time.Duration, kind int, equal bool) admission.Input {
	port++
	flow := steering.Flow{CallerPort: port, ServicePort: uint16(kind)}
	t := table(equal)
	route, _ := t.Lookup(flow.Service())
	offer := admission.Offer{Flow: flow, Service: "s", Route: route}
	c.RecordOffered(now, t, offer, true)
	return c.Input(now, t, offer)
}

var port uint16

// Guards against any change where routes don't differ in priority: the limits, the waits and the order
// are those of before.
func TestEqualPrioritiesAreDecidedAsBefore(t *testing.T) {
	in := offerAt(admission.New(), 0, lookup, true)
	in.Age, in.Timeout = time.Hour, time.Second
	in.CountWaiting(map[holding.Rank]int{{Order: 2}: 9})
	assert.Equal(t, in.Rank(), holding.Rank{})
	for wait, limits := range map[time.Duration][2]float64{0: {6, 4}, 299 * ms: {6, 4}, 300 * ms: {math.Inf(1), 6},
		599 * ms: {math.Inf(1), 6}, 600 * ms: {math.Inf(1), math.Inf(1)}} {
		for late, limit := range limits {
			r := in.Restrict(steering.Requirements{CapacityWait: wait, Late: late == 1})
			for requests := range 12 {
				in.HasRoom = r.Fits(float64(requests), 2)
				assert.Equal(t, in.HasRoom, float64(requests) < limit)
				decision, _ := in.Decide()
				assert.Equal(t, decision, map[bool]admission.Decision{true: admission.Admit, false: admission.Wait}[in.HasRoom])
			}
		}
	}
}

// Guards against room that stays reserved for priorities that don't use it any more.
func TestReserveIsGivenUp(t *testing.T) {
	c := admission.New()
	for now := time.Duration(0); now < 2*time.Second; now += 10 * ms {
		in := offerAt(c, now, update, false)
		in.HasRoom = true
		c.RecordAdmitted(now, steering.Flow{}, &in)
	}
	limit := func(now time.Duration) (n int) {
		in := offerAt(c, now, lookup, false)
		for r := in.Restrict(steering.Requirements{CapacityWait: time.Second}); n < 100 && r.Fits(float64(n), 2); n++ {
			continue
		}
		return n
	}
	assert.Equal(t, limit(2*time.Second), 4)
	for now := 2 * time.Second; now < 12*time.Second; now += 10 * ms {
		in := offerAt(c, now, lookup, false)
		c.RecordAdmitted(now, steering.Flow{}, &in)
	}
	assert.Equal(t, limit(12*time.Second), 100)
}

// Guards against an order in which late flows, or ones of a lower priority, take the room of others.
func TestOrderOfWaitingFlows(t *testing.T) {
	q := holding.NewQueue[string]()
	for i, f := range []struct {
		name string
		kind int
		late bool
	}{{"lookup", lookup, false}, {"late update", update, true}, {"download", download, false}, {"update", update, false},
		{"late lookup", lookup, true}, {"later update", update, false}} {
		in := offerAt(admission.New(), 0, f.kind, false)
		in.Late = f.late
		at := time.Duration(i)
		q.Put(at, holding.Item[string]{Flow: steering.Flow{CallerPort: uint16(i)}, Arrived: at, Rank: in.Rank(), Value: f.name})
	}
	in := offerAt(admission.New(), 0, lookup, false)
	in.CountWaiting(q.Waiting())
	assert.Equal(t, in.Ahead, 3)
	assert.Equal(t, in.Rivals, 1)
	var names []string
	for _, item := range q.Take() {
		names = append(names, item.Value)
	}
	assert.DeepEqual(t, names, []string{"later update", "update", "late update", "lookup", "late lookup", "download"})
	assert.Equal(t, len(q.Waiting()), 0)
}

// Guards against refusals that may be untrue: a target may have seen a flow of which a copy was passed
// on or reached another node, also while this node, or the one before it, was frozen.
func TestOnlyUnseenFlowsAreRefused(t *testing.T) {
	table := table(false)
	const late, early = 600 * ms, 200 * ms
	for name, c := range map[string]struct {
		copies  []int           // in the order of their arrival
		at      []time.Duration // of the arrival, after 2 s
		passed  bool
		frozen  time.Duration // until
		held    time.Duration
		relayed bool
		refused bool
	}{
		"all copies":             {copies: []int{0, 1, 2}, at: []time.Duration{0, early, late}, refused: true},
		"first packet":           {copies: []int{0}, at: []time.Duration{0}, refused: true},
		"first, by another node": {copies: []int{0}, at: []time.Duration{0}, relayed: true},
		"all, by another node":   {copies: []int{0, 1, 2}, at: []time.Duration{0, early, late}, relayed: true, refused: true},
		"passed on":              {copies: []int{0, 1}, at: []time.Duration{0, early}, passed: true},
		"first is elsewhere":     {copies: []int{1, 2}, at: []time.Duration{early, late}},
		"first is late":          {copies: []int{1, 0}, at: []time.Duration{early, late}},
		"read together":          {copies: []int{0, 1, 2}, at: []time.Duration{late, late, late}},
		"next is under way":      {copies: []int{0}, at: []time.Duration{0}, held: 100 * ms},
		"after a pause":          {copies: []int{0}, at: []time.Duration{0}, frozen: 1500 * ms},
	} {
		controller, now := admission.New(), time.Duration(0)
		run := func(until time.Duration) {
			for ; now < until; now += admission.RunInterval {
				if now >= c.frozen {
					controller.RecordRunning(now)
				}
			}
		}
		flow := steering.Flow{CallerPort: 1, ServicePort: lookup}
		route, _ := table.Lookup(flow.Service())
		offer := admission.Offer{Flow: flow, Service: "s", Route: route, Relayed: c.relayed}
		for i, index := range c.copies {
			run(2*time.Second + c.at[i])
			offer.Copy, offer.ValidFor = index, []time.Duration{200 * ms, 400 * ms, 800 * ms}[index]
			offer.Age = []time.Duration{0, early, late}[index]
			controller.RecordOffered(now, table, offer, true)
			if c.passed {
				controller.RecordPassed(flow)
			}
		}
		run(now + c.held)
		in := controller.Input(now, table, offer)
		in.HasRoom, in.Timeout, in.RequestTime = true, time.Second, time.Second
		decision, _ := in.Decide()
		assert.Equal(t, decision == admission.Refuse, c.refused, name)
	}
}

// Guards against refusals by loads that are out of date.
func TestRefusalNeedsLackOfRoomForLong(t *testing.T) {
	in := admission.Input{Priority: 1, Classes: admission.Classes{0, 1}, Objective: time.Second, Unseen: true, Rivals: 9,
		Demand: admission.Demand{Higher: 0.5}}
	for fullFor, want := range map[time.Duration]admission.Decision{199 * ms: admission.Wait, 200 * ms: admission.Refuse} {
		in.FullFor = fullFor
		decision, _ := in.Decide()
		assert.Equal(t, decision, want)
	}
}

// Guards against lower priorities that are locked out for as long as all targets seem full: loads are estimates.
func TestAssuredFlowsOpenAfterTheUsualWait(t *testing.T) {
	in := admission.Input{Priority: 2, Classes: admission.Classes{0, 2}, Objective: 800 * time.Millisecond, Age: 700 * time.Millisecond}
	assert.Assert(t, in.IsAssured())
	r := in.Restrict(steering.Requirements{CapacityWait: 500 * time.Millisecond, Late: true})
	assert.Assert(t, r.Fits(8, 2), "%+v", r)
	r = in.Restrict(steering.Requirements{CapacityWait: 100 * time.Millisecond, Late: true})
	assert.Assert(t, !r.Fits(8, 2) && r.Fits(5, 2), "%+v", r)
}

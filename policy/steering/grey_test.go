package steering_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/steering"
)

// simulateFailingTargets offers 800 requests per second to 14 targets with 2 slots. Three targets,
// all in the callers' data centre, break off 80% of their requests on arrival; the others take
// 25 ms. Callers make up to three attempts without delay. reports is whether agents report the
// failures of their targets. It returns the share of attempts that were broken off, and the share
// of callers that were never served.
func simulateFailingTargets(reports bool) (broken, unserved float64) {
	const (
		step              = time.Millisecond
		length            = 6 * time.Second
		requestTime       = 25 * time.Millisecond
		heartbeatInterval = 200 * time.Millisecond
		requestsPerStep   = 0.8
		tries             = 3
		breakRatio        = 0.8
		failingTargets    = 3
	)
	random := rand.New(rand.NewPCG(1, 2))
	agents := pool(14)
	tables := map[string]*inflight.Table{}
	for i := range agents {
		agents[i].Target.Slots = 2
		tables[agents[i].Name] = inflight.New()
	}
	isFailing := map[string]bool{} // in the callers' data centre, where flows go first
	for i := range agents {
		if agents[i].DataCentre == "dc-0" && len(isFailing) < failingTargets {
			isFailing[agents[i].Name] = true
		}
	}
	type running struct {
		name string
		flow steering.Flow
		ends time.Duration
	}
	var requests []running
	flows, attempts, brokenOff, callers, unservedCallers := uint32(0), 0, 0, 0, 0
	try := func(now time.Duration) bool {
		flows++
		attempts++
		flow := steering.Flow{CallerIP: [4]byte{byte(flows >> 16)}, CallerPort: uint16(flows)}
		steering.Rank(flow.Hash(), "dc-0", agents)
		p := &agents[max(0, steering.Place(now, steering.Requirements{Origin: "dc-0", CapacityWait: time.Second}, agents))]
		p.RecordPlacement(now)
		table := tables[p.Name]
		table.RecordDelivered(now, flow, inflight.Event{Data: true, Sequence: 1})
		if isFailing[p.Name] && random.Float64() < breakRatio {
			table.RecordSent(now, flow, inflight.Event{Resets: true})
			brokenOff++
			return false
		}
		requests = append(requests, running{p.Name, flow, now + requestTime})
		return true
	}
	due := 0.0
	for now := time.Duration(0); now < length; now += step {
		unfinished := requests[:0]
		for _, r := range requests {
			if now < r.ends {
				unfinished = append(unfinished, r)
				continue
			}
			tables[r.name].RecordSent(now, r.flow, inflight.Event{Data: true})
			tables[r.name].RecordSent(now, r.flow, inflight.Event{Finishes: true})
			tables[r.name].RecordDelivered(now, r.flow, inflight.Event{Finishes: true})
		}
		requests = unfinished
		for i := range agents {
			p := &agents[i]
			p.LastSeen = now
			if now%heartbeatInterval == 0 {
				load := tables[p.Name].Load(now)
				p.Target.Flows, p.Target.Busy = load.Flows, load.Busy
				if reports {
					p.Target.Rate, p.Target.Failing = load.Rate, load.Failing
				}
			}
		}
		for due += requestsPerStep; due >= 1; due-- {
			callers++
			served := false
			for range tries {
				if served = try(now); served {
					break
				}
			}
			if !served {
				unservedCallers++
			}
		}
	}
	return float64(brokenOff) / float64(attempts), float64(unservedCallers) / float64(callers)
}

// Guards against targets that fail their requests immediately while they appear healthy: they look
// idle and attract new flows, retries included.
func TestTargetsThatBreakRequestsOffAreAvoided(t *testing.T) {
	brokenBefore, unservedBefore := simulateFailingTargets(false)
	broken, unserved := simulateFailingTargets(true)
	t.Logf("broken off %.3f of attempts, unserved %.4f of callers; without reports %.3f, %.4f",
		broken, unserved, brokenBefore, unservedBefore)
	assert.Assert(t, brokenBefore > 0.08 && unservedBefore > 0, "the failing targets have no effect without reports")
	assert.Assert(t, broken < 0.02, "%.3f of attempts", broken)
	assert.Equal(t, unserved, 0.0)
}

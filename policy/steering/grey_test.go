package steering_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/steering"
)

// grey plays 800 requests a second on 14 targets of 2 slots, three of which, all of the callers' data centre, break off 80% of their requests as soon as they arrive; the others take 25 ms.
// Callers try three times at once. told tells whether agents report what they see. It returns the share of tries that were broken off and the share of
// callers that were never served.
func grey(told bool) (broken, unserved float64) {
	const (
		step    = time.Millisecond
		length  = 6 * time.Second
		work    = 25 * time.Millisecond
		beat    = 200 * time.Millisecond
		perStep = 0.8
		tries   = 3
		fails   = 0.8
		failing = 3
	)
	random := rand.New(rand.NewPCG(1, 2))
	agents := pool(14)
	tables := map[string]*inflight.Table{}
	for i := range agents {
		agents[i].Target.Slots = 2
		tables[agents[i].Name] = inflight.New()
	}
	bad := map[string]bool{} // of the callers' data centre, where flows go first
	for i := range agents {
		if agents[i].DataCentre == "dc-0" && len(bad) < failing {
			bad[agents[i].Name] = true
		}
	}
	type running struct {
		name string
		flow steering.Flow
		ends time.Duration
	}
	var requests []running
	flows, attempts, cut, callers, lost := uint32(0), 0, 0, 0, 0
	try := func(now time.Duration) bool {
		flows++
		attempts++
		flow := steering.Flow{CallerIP: [4]byte{byte(flows >> 16)}, CallerPort: uint16(flows)}
		steering.Rank(flow.Hash(), "dc-0", agents)
		p := &agents[max(0, steering.Place(now, steering.Requirements{Origin: "dc-0", CapacityWait: time.Second}, agents))]
		p.RecordPlacement(now)
		table := tables[p.Name]
		table.RecordDelivered(now, flow, inflight.Event{Data: true, Sequence: 1})
		if bad[p.Name] && random.Float64() < fails {
			table.RecordSent(now, flow, inflight.Event{Resets: true})
			cut++
			return false
		}
		requests = append(requests, running{p.Name, flow, now + work})
		return true
	}
	due := 0.0
	for now := time.Duration(0); now < length; now += step {
		left := requests[:0]
		for _, r := range requests {
			if now < r.ends {
				left = append(left, r)
				continue
			}
			tables[r.name].RecordSent(now, r.flow, inflight.Event{Data: true})
			tables[r.name].RecordSent(now, r.flow, inflight.Event{Finishes: true})
			tables[r.name].RecordDelivered(now, r.flow, inflight.Event{Finishes: true})
		}
		requests = left
		for i := range agents {
			p := &agents[i]
			p.LastSeen = now
			if now%beat == 0 {
				load := tables[p.Name].Load(now)
				p.Target.Flows, p.Target.Busy = load.Flows, load.Busy
				if told {
					p.Target.Rate, p.Target.Failing = load.Rate, load.Failing
				}
			}
		}
		for due += perStep; due >= 1; due-- {
			callers++
			served := false
			for range tries {
				if served = try(now); served {
					break
				}
			}
			if !served {
				lost++
			}
		}
	}
	return float64(cut) / float64(attempts), float64(lost) / float64(callers)
}

// Guards against targets that fail their requests at once while their health is good: they are idle and draw new flows, retries included (trouble-1 of
// camaras-petrolina-grown, srv_grey).
func TestTargetsThatBreakRequestsOffAreAvoided(t *testing.T) {
	brokenBefore, unservedBefore := grey(false)
	broken, unserved := grey(true)
	t.Logf("broken off %.3f of tries, unserved %.4f of callers; without reports %.3f, %.4f", broken, unserved, brokenBefore, unservedBefore)
	assert.Assert(t, brokenBefore > 0.08 && unservedBefore > 0, "the load shows nothing")
	assert.Assert(t, broken < 0.02, "%.3f of tries", broken)
	assert.Equal(t, unserved, 0.0)
}

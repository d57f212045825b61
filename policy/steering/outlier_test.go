package steering_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/outlier"
	"lacewinglever.dev/policy/steering"
)

// outlierPool is a pool of targets with 2 slots and a queue of 8, of which the first ones are disturbed from
// faultStart to faultEnd. Flows have 8 requests, 1 s apart, of 22 ms; callers give up after 1.2 s. Agents
// send heartbeats every 200 ms.
type outlierPool struct {
	targets, disturbed int
	utilization        float64
	slow               float64 // factor of the time of work
	hangs              float64 // share of the requests that are never answered
	flaps              bool    // the fault comes and goes every 1.5 s
	judged             bool    // heartbeats have the measurements
	opened             func(now time.Duration, target int)
	verdicts           func(now time.Duration, targets []int)
}

const (
	faultStart, faultEnd = 10 * time.Second, 19 * time.Second
	poolEnd              = 33 * time.Second
	workTime             = 22 * time.Millisecond
)

func (o *outlierPool) run() {
	type request struct {
		flow      steering.Flow
		at        int
		left      int // requests of the flow
		remaining time.Duration
	}
	random := rand.New(rand.NewPCG(1, 2))
	agents := pool(o.targets)
	index, tables, served := map[string]int{}, make([]*inflight.Table, o.targets), make([][]*request, o.targets)
	for i := range agents {
		agents[i].Target.Slots = 2
		index[agents[i].Name], tables[i] = i, inflight.New()
	}
	due, hung := map[time.Duration][]*request{}, map[time.Duration][]*request{} // by time of the next packet
	flows, dueFlows := uint32(0), 0.0
	for now := time.Duration(0); now < poolEnd && (o.judged || now < faultEnd); now += time.Millisecond {
		faulty := now >= faultStart && now < faultEnd && (!o.flaps || (now-faultStart)%(3*time.Second) < 1500*time.Millisecond)
		for dueFlows += o.utilization * float64(o.targets) * 2 / 8 / float64(workTime/time.Millisecond); dueFlows >= 1; dueFlows-- {
			flows++
			flow := steering.Flow{CallerIP: [4]byte{byte(flows >> 16)}, CallerPort: uint16(flows)}
			origin := agents[random.IntN(len(agents))].DataCentre
			steering.Rank(flow.Hash(), origin, agents)
			requirements := steering.Requirements{Origin: origin, Flow: flow.Hash()}
			at := steering.Place(now, requirements, agents)
			if at < 0 {
				requirements.CapacityWait = time.Second
				at = steering.Place(now, requirements, agents)
			}
			agents[at].RecordPlacement(now)
			i := index[agents[at].Name]
			o.opened(now, i)
			due[now+2*time.Millisecond] = append(due[now+2*time.Millisecond], &request{flow: flow, at: i, left: 8})
		}
		for _, r := range due[now] {
			r.remaining = time.Duration(float64(workTime) * (0.5 + random.Float64()))
			bad := faulty && r.at < o.disturbed
			if bad {
				r.remaining = time.Duration(float64(r.remaining) * max(1, o.slow))
			}
			tables[r.at].RecordDelivered(now, r.flow, inflight.Event{Data: true, Sequence: uint32(100 - r.left), Objective: 300 * time.Millisecond})
			if bad && random.Float64() < o.hangs {
				hung[now+1200*time.Millisecond] = append(hung[now+1200*time.Millisecond], r)
			} else if len(served[r.at]) < 10 {
				served[r.at] = append(served[r.at], r)
			} else { // shed
				tables[r.at].RecordSent(now, r.flow, inflight.Event{Resets: true})
			}
		}
		for _, r := range hung[now] {
			tables[r.at].RecordDelivered(now, r.flow, inflight.Event{Resets: true})
		}
		for i := range served {
			unfinished := served[i][:0]
			for k, r := range served[i] {
				if k < 2 {
					r.remaining -= time.Millisecond
				}
				if r.remaining > 0 {
					unfinished = append(unfinished, r)
					continue
				}
				tables[i].RecordSent(now, r.flow, inflight.Event{Data: true})
				if r.left--; r.left > 0 {
					due[now+time.Second] = append(due[now+time.Second], r)
				} else {
					tables[i].RecordSent(now, r.flow, inflight.Event{Resets: true})
				}
			}
			served[i] = unfinished
		}
		for i := range agents {
			p := &agents[i]
			table := tables[index[p.Name]]
			if p.LastSeen = now; now%(50*time.Millisecond) == 0 {
				table.SetPool(now, 2, steering.MeanSlowdown(agents))
				table.Expire(now, time.Minute)
				table.Load(now)
			}
			if now%(200*time.Millisecond) == 0 {
				load := table.Load(now)
				p.Target.Flows, p.Target.Busy, p.Target.Rate = load.Flows, load.Busy, load.Rate
				if o.judged {
					p.Target.Failing, p.Target.Slowdown = load.Failing, load.Slowdown
				}
			}
		}
		if o.verdicts != nil && now%(200*time.Millisecond) == 0 {
			verdicts, _ := outlier.Judge(steering.Measurements(now, agents), steering.MaxOutliers(len(agents)))
			var judged []int
			for _, v := range verdicts {
				judged = append(judged, index[agents[v.Index].Name])
			}
			o.verdicts(now, judged)
		}
	}
}

// shares runs the pool and returns the new flows of the disturbed targets, as a part of their usual share, in
// the time from 1.5 s after the fault begins to its end, from 0.5 to 1.5 s after its end, and from 4 s on.
func (o outlierPool) shares() (during, after, later float64) {
	var disturbed, all [3]float64
	o.opened = func(now time.Duration, target int) {
		var phase int
		switch {
		case now > faultStart+1500*time.Millisecond && now < faultEnd:
			phase = 0
		case now > faultEnd+500*time.Millisecond && now < faultEnd+1500*time.Millisecond:
			phase = 1
		case now > faultEnd+4*time.Second:
			phase = 2
		default:
			return
		}
		all[phase]++
		if target < o.disturbed {
			disturbed[phase]++
		}
	}
	o.run()
	usual := float64(o.disturbed) / float64(o.targets)
	return disturbed[0] / all[0] / usual, disturbed[1] / all[1] / usual, disturbed[2] / all[2] / usual
}

// Guards against targets that answer late or not at all while they report good health, and keep their new
// flows; and against their return at once, or never.
func TestOutliersLoseNewFlows(t *testing.T) {
	for _, n := range []struct{ targets, disturbed int }{{40, 1}, {40, 5}, {3, 1}} {
		for name, o := range map[string]outlierPool{"slow": {slow: 5}, "hanging": {hangs: 0.4}, "mute": {hangs: 1}} {
			t.Run(fmt.Sprintf("%s/%d of %d", name, n.disturbed, n.targets), func(t *testing.T) {
				o.targets, o.disturbed, o.utilization = n.targets, n.disturbed, 0.44
				before, _, _ := o.shares()
				o.judged = true
				during, after, later := o.shares()
				t.Logf("share of new flows %.2f, then %.2f, later %.2f; without the decision %.2f", during, after, later, before)
				assert.Check(t, during < 0.2 && during < before/2, "%.2f", during)
				assert.Check(t, before > 0.2, "the fault has no effect without the decision")
				assert.Check(t, later > 0.6, "%.2f", later)
				assert.Check(t, after < 0.5, "%.2f", after)
			})
		}
	}
}

// Guards against judging load, or a pool in which all targets have the same fault, and against placements that
// the measurements change although no target is an outlier.
func TestPoolsWithoutOutliersAreLeftAlone(t *testing.T) {
	for name, o := range map[string]outlierPool{
		"healthy": {}, "all slow": {disturbed: 40, slow: 5, utilization: 0.15}, "all hanging": {disturbed: 40, hangs: 0.4}, "overload": {utilization: 1.3},
	} {
		o.targets, o.utilization = 40, cmp.Or(o.utilization, 0.44)
		var placements [2][]int
		for i := range placements {
			o.judged = i == 1
			o.opened = func(_ time.Duration, target int) { placements[i] = append(placements[i], target) }
			o.verdicts = func(now time.Duration, targets []int) {
				// The first targets that show a fault of all, or still show it, may be judged: up to a third.
				settled := o.hangs == 0 || now > faultStart+1500*time.Millisecond && now < faultEnd
				assert.Check(t, len(targets) == 0 || !settled && len(targets) <= o.targets/3, "%s: %v at %v", name, targets, now)
			}
			o.run()
		}
		if name == "healthy" || name == "all slow" {
			assert.DeepEqual(t, placements[0], placements[1][:len(placements[0])])
		}
	}
}

// Guards against a pool that swings because some of its targets are slow and well again every 1.5 s.
func TestFlappingTargetsDontSwingThePool(t *testing.T) {
	o := outlierPool{targets: 40, disturbed: 5, utilization: 0.44, slow: 5, flaps: true, judged: true}
	changes, judged := 0, false
	opened := map[time.Duration]float64{}
	o.opened = func(now time.Duration, target int) {
		if target >= o.disturbed {
			opened[now/time.Second]++
		}
	}
	o.verdicts = func(now time.Duration, targets []int) {
		for _, target := range targets {
			assert.Check(t, target < o.disturbed, "a healthy target was judged")
		}
		if is := slices.Contains(targets, 0); is != judged {
			changes++
			judged = is
		}
	}
	o.run()
	usual := opened[faultStart/time.Second-1]
	for s := faultStart/time.Second + 1; s < faultEnd/time.Second; s++ {
		assert.Check(t, opened[s] > 0.85*usual && opened[s] < 1.25*usual, "%.0f new flows, usually %.0f", opened[s], usual)
	}
	assert.Check(t, changes <= 4, "the judgement changed %d times", changes)
}

package steering_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/steering"
)

// Guards against flows that open where the locality decision doesn't want them or where searches look late, and against
// flows that are held although a target elsewhere can serve them at once.
func TestFlowsOpenWithinTheirReach(t *testing.T) {
	agents := pool(30)
	flow := uint64(0)
	place := func(reach steering.Reach, home, far float64) (dc string, step int) {
		flow++
		for i := range agents {
			agents[i].Target.Busy = far * 3
			if agents[i].DataCentre == "dc-0" {
				agents[i].Target.Busy = home * 3
			}
		}
		steering.Rank(flow, "dc-0", agents)
		at := steering.Place(0, steering.Requirements{Origin: "dc-0", Locality: steering.Locality{Reach: reach,
			Destinations: []steering.Destination{{DataCentre: "dc-2", Penalty: 1}}}}, agents)
		if at < 0 {
			return "", at
		}
		return string(agents[at].DataCentre), at
	}
	for range 50 {
		for _, c := range []struct {
			reach     steering.Reach
			home, far float64
			want      string
			maxStep   int
		}{
			{steering.ReachHome, 2.5, 0, "dc-0", 2},
			{steering.ReachEither, 0.9, 0, "dc-0", 2},
			{steering.ReachEither, 1.5, 0, "dc-2", 9},
			{steering.ReachRemote, 0, 0.9, "dc-2", 9},
			{steering.ReachRemote, 0, 3, "dc-0", 2}, // no capacity there
			{steering.ReachHome, 3, 2, "", 0},
		} {
			dc, step := place(c.reach, c.home, c.far)
			assert.Assert(t, dc == c.want && step <= c.maxStep, "%+v: %s at step %d", c, dc, step)
		}
		dc, step := place(steering.ReachHome, 3, 1.9)
		assert.Assert(t, dc != "dc-0" && dc != "" && step <= 9, "%s at step %d", dc, step)
	}
}

// Guards against flows that open where a search looks last: one that leaves opened at the fourth target of its destination, which
// is asked after all others of the caller's data centre.
func TestFlowsThatLeaveAreFoundEarly(t *testing.T) {
	agents := pool(30)
	for f := uint64(1); f <= 3000; f++ {
		for i := range agents {
			agents[i].Target.Busy = float64((f*7919+uint64(agents[i].ID))%17) * 0.1
		}
		steering.Rank(f*0x9e3779b97f4a7c15, "dc-0", agents)
		at := steering.Place(0, steering.Requirements{Origin: "dc-0", Locality: steering.Locality{Reach: steering.ReachRemote,
			Destinations: []steering.Destination{{DataCentre: "dc-2"}}}}, agents)
		assert.Assert(t, at >= 0 && at <= 8, "step %d", at) // three in each data centre are asked before the rest
	}
}

// Guards against flows that are held although targets have room: all targets of the data centre are outliers, which the flow may
// not go to, and those elsewhere are busy.
func TestOutliersAtHomeDontHoldFlows(t *testing.T) {
	for _, reach := range []steering.Reach{steering.ReachFixed, steering.ReachHome, steering.ReachEither} {
		agents := pool(9)
		for f := uint64(1); f <= 500; f++ {
			for i := range agents {
				target := &agents[i].Target
				target.Slots, target.Busy, target.Slowdown = 2, 4.2, 20*time.Millisecond
				if agents[i].DataCentre == "dc-0" {
					target.Busy, target.Slowdown = 0, 200*time.Millisecond
				}
			}
			hash := f * 0x9e3779b97f4a7c15
			steering.Rank(hash, "dc-0", agents)
			at := steering.Place(0, steering.Requirements{Origin: "dc-0", CapacityWait: 900 * time.Millisecond, Flow: hash,
				Locality: steering.Locality{Reach: reach}}, agents)
			assert.Assert(t, at >= 0, "reach %d, flow %d", reach, f)
		}
	}
}

package resetpacing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/resetpacing"
)

// simulate returns how many of the callers that lost their flows are shed, and how many return,
// with paced or unpaced resets. The pool has 7 targets with 3 slots and a queue of 12 each, takes
// 35 ms per request after its start, and serves 370 other requests per second.
func simulate(paced bool) (shed, served int) {
	const (
		targets, slots, queue = 7, 3, 12
		requestTime           = 0.035
		otherRequests         = 370.0
		callers               = 300
	)
	pacers := make([]resetpacing.Pacer, targets)
	waiting := make([]int, targets)
	for i := range callers {
		waiting[i%targets]++
	}
	var load [targets]float64 // requests in each target
	returned := 0
	offer := func() {
		least := 0
		for i := range load {
			if load[i] < load[least] {
				least = i
			}
		}
		if load[least]+1 > slots+queue {
			shed++
			return
		}
		load[least]++
		served++
	}
	const (
		step           = time.Millisecond
		reportInterval = 50 * time.Millisecond // age of the loads that agents use
	)
	due, mean := 0.0, 0.0
	for now := time.Duration(0); now < 2*time.Second; now += step {
		for i := range load {
			load[i] = max(0, load[i]-min(load[i], slots)*step.Seconds()/requestTime)
		}
		for due += otherRequests * step.Seconds(); due >= 1; due-- {
			offer()
		}
		if now%reportInterval == 0 {
			mean = 0
			for _, l := range load {
				mean += l / slots / targets
			}
		}
		for i := range pacers {
			for waiting[i] > 0 && (!paced || pacers[i].Admit(now, slots, mean)) {
				waiting[i]--
				returned++
				offer()
			}
		}
	}
	return shed, returned
}

// Guards against callers that all return at the same moment and are shed by targets that have just
// started, and against a pace so slow that callers exceed their deadline.
func TestCallersReturnAsFastAsTargetsAdmitThem(t *testing.T) {
	unpaced, _ := simulate(false)
	assert.Assert(t, unpaced > 50, "%d shed without pacing: the load is too low for this test", unpaced)
	shed, back := simulate(true)
	assert.Equal(t, shed, 0)
	assert.Equal(t, back, 300)
}

// Guards against resets that make callers return to a pool without capacity.
func TestFullPoolAdmitsNoResets(t *testing.T) {
	var p resetpacing.Pacer
	assert.Assert(t, !p.Admit(time.Second, 3, 2.5))
	assert.Assert(t, p.Admit(time.Second, 3, 0.5))
}

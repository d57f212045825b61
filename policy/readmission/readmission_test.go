package readmission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/readmission"
)

// play returns how many of the callers that lost their flows are shed, when their resets are paced or not. The pool has 7 targets of 3 slots with a
// queue of 12 each, takes 35 ms a request after its start, and serves 370 other requests a second.
func play(paced bool) (shed, served int) {
	const (
		targets, slots, queue = 7, 3, 12
		service               = 0.035
		others                = 370.0
		callers               = 300
	)
	pacers := make([]readmission.Pacer, targets)
	waiting := make([]int, targets)
	for i := range callers {
		waiting[i%targets]++
	}
	var load [targets]float64 // requests in each target
	next := 0
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
		step = time.Millisecond
		told = 50 * time.Millisecond // age of the loads that agents know
	)
	due, mean := 0.0, 0.0
	for now := time.Duration(0); now < 2*time.Second; now += step {
		for i := range load {
			load[i] = max(0, load[i]-min(load[i], slots)*step.Seconds()/service)
		}
		for due += others * step.Seconds(); due >= 1; due-- {
			offer()
		}
		if now%told == 0 {
			mean = 0
			for _, l := range load {
				mean += l / slots / targets
			}
		}
		for i := range pacers {
			for waiting[i] > 0 && (!paced || pacers[i].Admit(now, slots, mean)) {
				waiting[i]--
				next++
				offer()
			}
		}
	}
	return shed, next
}

// Guards against callers that all come back at the same moment and are shed by targets that have just started, and against a pace so slow that they
// wait longer than their deadline.
func TestCallersComeBackAsFastAsTargetsTakeThem(t *testing.T) {
	unpaced, _ := play(false)
	assert.Assert(t, unpaced > 50, "%d shed without a pace: the load shows nothing", unpaced)
	shed, back := play(true)
	assert.Equal(t, shed, 0)
	assert.Equal(t, back, 300)
}

// Guards against callers that are sent back to a pool without room.
func TestFullPoolTakesNobodyBack(t *testing.T) {
	var p readmission.Pacer
	assert.Assert(t, !p.Admit(time.Second, 3, 2.5))
	assert.Assert(t, p.Admit(time.Second, 3, 0.5))
}

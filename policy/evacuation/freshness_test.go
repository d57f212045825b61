package evacuation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/evacuation"
)

// Guards against an agent that takes flows before it knows the evacuations, and against one that never takes any
// because the store can't be read and nobody else knows them.
func TestStartingNodeAwaitsASet(t *testing.T) {
	const started, within = time.Minute, 5 * time.Second
	f := evacuation.NewFreshness(started, within)
	assert.Assert(t, f.Awaits(started+time.Hour, false, false), "no routes are known")
	assert.Assert(t, f.Awaits(started+within-1, false, true))
	assert.Assert(t, !f.Awaits(started+within, false, true))
	assert.Assert(t, !f.Awaits(started, true, false))
}

// Guards against new flows from before an evacuation that an agent finds unread after it was frozen.
func TestStalledNodeAwaitsASet(t *testing.T) {
	f := evacuation.NewFreshness(0, 5*time.Second)
	at := time.Minute
	f.RecordRunning(at)
	assert.Assert(t, !f.Awaits(at+time.Second, true, true))
	at += 3 * time.Second
	assert.Assert(t, f.Awaits(at, true, true), "packets are read before the stall is recorded")
	f.RecordRunning(at)
	assert.Assert(t, f.Awaits(at+time.Second, true, true))
	f.RecordRunning(at + 1500*time.Millisecond)
	assert.Assert(t, !f.Awaits(at+1500*time.Millisecond, true, true))
}

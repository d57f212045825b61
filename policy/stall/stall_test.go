package stall_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/stall"
)

// Guards against judging others by a silence that is this process's own, also before it has recorded that
// it is running again, and against never judging them again.
func TestStall(t *testing.T) {
	var d stall.Detector
	assert.Assert(t, d.Settled(time.Hour), "nothing is recorded")
	now := time.Second
	for ; now < 3*time.Second; now += 2 * stall.RecordInterval {
		assert.Equal(t, d.Record(now), time.Duration(0))
		assert.Assert(t, d.Settled(now+stall.RecordInterval))
	}
	now += 2 * time.Second
	assert.Assert(t, !d.Settled(now), "not recorded yet")
	assert.Equal(t, d.Record(now), 2*time.Second+2*stall.RecordInterval)
	assert.Assert(t, !d.Settled(now+stall.RecordInterval))
	for until := now + 2*time.Second; now < until; now += stall.RecordInterval {
		d.Record(now)
	}
	assert.Assert(t, d.Settled(now))
}

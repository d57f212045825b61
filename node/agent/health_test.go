package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a division by zero when a poll finds the target up after the snapshot's time was
// read and the service has no warm-up. The fault ended agents within a second of their start.
func TestSnapshotBeforePoll(t *testing.T) {
	now := time.Now()
	h := &health{up: true, upSince: now.Add(time.Millisecond)}
	_, warm := h.snapshot(now, 0)
	assert.Equal(t, warm, uint32(fullyWarmPerMille))
	_, warm = h.snapshot(now, time.Second)
	assert.Equal(t, warm, uint32(0))
}

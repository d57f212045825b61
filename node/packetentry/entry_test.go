package packetentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an entry that still counts as ready 4 s after the signal to stop: with three others stopping in its data centre, it waited 3.3 s for its
// turn (trouble-2 of camaras-petrolina-grown, seed 1067071202588), and the fabric needs up to 1.5 s more.
func TestStoppingEntryLeavesTheRotationInTime(t *testing.T) {
	const (
		outWithin = 4 * time.Second
		noticed   = 1500 * time.Millisecond
	)
	for _, grace := range []time.Duration{3 * time.Second, 6 * time.Second, 30 * time.Second} {
		assert.Assert(t, turnFor(grace)+noticed < outWithin, "%v", grace)
		assert.Assert(t, turnFor(grace)+forwardGrace+stopMargin <= grace, "%v", grace)
	}
}

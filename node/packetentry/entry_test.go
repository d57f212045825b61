package packetentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an entry that is still in rotation 4 s after the signal to stop. With three other
// entries of its data centre stopping, an entry waited 3.3 s for them (day trouble-2 of the site
// camaras-petrolina-grown, seed 1067071202588), and the fabric needs up to 1.5 s more to notice.
func TestStoppingEntryLeavesTheRotationInTime(t *testing.T) {
	const (
		outWithin   = 4 * time.Second
		noticeDelay = 1500 * time.Millisecond
	)
	for _, grace := range []time.Duration{3 * time.Second, 6 * time.Second, 30 * time.Second} {
		assert.Assert(t, stopWait(grace)+noticeDelay < outWithin, "%v", grace)
		assert.Assert(t, stopWait(grace)+forwardGrace+stopMargin <= grace, "%v", grace)
	}
}

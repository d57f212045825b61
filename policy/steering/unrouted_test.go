package steering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against resets of open flows whose route was just added, also if it was looked for in vain before.
func TestFlowsOfAnUnknownRouteWaitForIt(t *testing.T) {
	var u UnroutedFlows
	const pause = 200 * time.Millisecond
	for at := time.Second; at <= time.Second+routesDelay; at += pause {
		assert.Equal(t, u.Judge(at, Flow{CallerPort: 1}), Unknown, "%v", at)
	}
	later := time.Second + routesDelay + pause
	assert.Equal(t, u.Judge(later, Flow{CallerPort: 2}), Unknown)
	assert.Equal(t, u.Judge(later, Flow{CallerPort: 1}), NotFound)
	assert.Equal(t, u.Judge(later+pause, Flow{CallerPort: 1}), NotFound)
	assert.Equal(t, u.Judge(later+time.Minute, Flow{CallerPort: 2}), Unknown)
}

// Guards against memory that grows with the flows of removed routes.
func TestUnroutedFlowsAreForgotten(t *testing.T) {
	var u UnroutedFlows
	for i := range 2 * maxUnrouted {
		assert.Equal(t, u.Judge(time.Second, Flow{CallerPort: uint16(i), ServicePort: 1}), Unknown)
	}
	assert.Equal(t, len(u.flows), maxUnrouted)
	u.Expire(2*time.Second + unroutedTimeout)
	assert.Equal(t, len(u.flows), 0)
}

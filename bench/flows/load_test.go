package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against disturbances of other instances that hide a broken flow, and failures that a
// disturbance excuses.
func TestDisturbancesExcuseFailuresOfInvolvedNodesOnly(t *testing.T) {
	disturbed, calm := &Node{}, &Node{}
	now := time.Now()
	for name, c := range map[string]struct {
		at       time.Duration // after the end of the disturbance
		of       *Node
		involved []*Node
		want     bool
	}{
		"instance involved":          {at: 4 * time.Second, of: disturbed, involved: []*Node{calm, disturbed}},
		"instance involved, settled": {at: 4300 * time.Millisecond, of: disturbed, involved: []*Node{calm, disturbed}, want: true},
		"disturbed since":            {at: -time.Second, of: disturbed, involved: []*Node{disturbed}},
		"another instance":           {of: disturbed, involved: []*Node{calm}, want: true},
		"store":                      {at: 4 * time.Second, involved: []*Node{calm}},
		"store, settled":             {at: 4300 * time.Millisecond, involved: []*Node{calm}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLoad()
			l.RecordDisturbance(now, c.of)
			assert.Equal(t, l.countsFor(now.Add(c.at), calm, c.involved), c.want)
		})
	}
}

// Guards against a disturbed target that hides broken flows of other targets to which its agent has sent a reset.
func TestDisturbedTargetExcusesItsOwnFlowsOnly(t *testing.T) {
	disturbed, calm := &Node{}, &Node{}
	l := NewLoad()
	now := time.Now()
	l.recordTargetDisturbance(now, disturbed)
	assert.Assert(t, !l.countsFor(now, disturbed, nil))
	assert.Assert(t, l.countsFor(now, calm, []*Node{disturbed}))
}

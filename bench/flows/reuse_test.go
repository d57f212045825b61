package flows_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against resets of open flows while the agent of their target restarts, if the target is of another
// service than the agent's settings name: its address was used by another service before.
func TestFlowsOutliveARestartOfAnAgentWithAnotherService(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2, "b": 2})
	n := f.Agents[2]
	target, _ := f.Target(n)
	target.Crash()
	assert.NilError(t, f.StartTarget(n, "a"))
	target, _ = f.Target(n)
	time.Sleep(time.Second)
	for _, other := range f.Agents[:2] {
		draining, _ := f.Target(other)
		draining.Drain()
	}
	time.Sleep(time.Second)
	open := f.openFlows(t, serviceA, 30)
	for _, flow := range open {
		assert.Assert(t, target.Holds(flow.ID))
	}
	for _, e := range f.Entries { // which then have to search
		e.Stop()
		assert.NilError(t, e.Launch())
		f.waitUntilReady(t, e)
	}
	time.Sleep(2 * time.Second)
	n.Stop()
	assert.NilError(t, n.Launch())
	assertAnswered(t, open, "later", 10*time.Millisecond, 4*time.Second)
}

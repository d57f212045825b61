package request

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/record"
)

// Guards against a request failing because its coordinator's own target may not run it.
func TestAnsweredByAnotherAgent(t *testing.T) {
	c := newCluster(t)
	c.add("a", 1, named("a"))
	c.add("b", 1, named("b"))
	c.setState("a", record.Draining)
	got := c.do(c.client("a"), "GET /desk?day=1")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.outcome, "answered")
	assert.Equal(t, got.body, "b GET /desk?day=1")
	assert.Equal(t, got.header.Get(HeaderExecutor), "b")
}

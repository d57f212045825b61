package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainTrace returns a short trace in which targets drain one after the other.
func drainTrace(targets int) *trace {
	t := &trace{name: "drains", length: 100 * time.Second}
	t.flows = newTraceFlows(t.length)[:1500]
	for i := range targets {
		t.changes = append(t.changes, change{firstChangeAt + time.Duration(i)*2*time.Second, changeDrain, i})
	}
	return t
}

// Guards against a replay that misses broken flows or reports them where there are none, and
// against results that differ between runs with the same seed.
func TestReplay(t *testing.T) {
	for _, c := range candidates() {
		for targets, wantBroken := range []bool{
			false, c.name == "plain hash" || c.name == "entry tables", c.name != "design" && c.name != "load-blind",
		} {
			x := drainTrace(targets)
			o := replay(x, c.newCandidate(x))
			assert.Equal(t, o.broken > 0, wantBroken, "%s, %d targets drain: %d broken", c.name, targets, o.broken)
			assert.Assert(t, o.undelivered*1000 <= o.datagrams,
				"%s: %d of %d datagrams not delivered", c.name, o.undelivered, o.datagrams)
			if targets == 1 {
				assert.Equal(t, replay(drainTrace(targets), c.newCandidate(x)), o, "%s", c.name)
			}
		}
	}
}

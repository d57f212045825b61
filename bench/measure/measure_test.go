package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drains is a short trace in which targets drain one after the other.
func drains(targets int) *trace {
	t := &trace{name: "drains", length: 100 * time.Second}
	t.flows = flowsFor(t.length)[:1500]
	for i := range targets {
		t.changes = append(t.changes, change{changesFrom + time.Duration(i)*2*time.Second, changeDrain, i})
	}
	return t
}

// Guards against a judge that finds no broken flows, or finds them where there are none, and against figures that differ between runs with
// the same seed.
func TestPlay(t *testing.T) {
	for _, c := range contenders() {
		for targets, mayBreak := range []bool{false, c.name == "plain hash" || c.name == "entry tables", c.name != "design" && c.name != "load-blind"} {
			x := drains(targets)
			o := play(x, c.make(x))
			assert.Equal(t, o.broken > 0, mayBreak, "%s, %d targets drain: %d broken", c.name, targets, o.broken)
			assert.Assert(t, o.undeliveredD*1000 <= o.datagrams, "%s: %d of %d datagrams not delivered", c.name, o.undeliveredD, o.datagrams)
			if targets == 1 {
				assert.Equal(t, play(drains(targets), c.make(x)), o, "%s", c.name)
			}
		}
	}
}

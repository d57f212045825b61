package platform

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settingsBound is the time within which accepted settings must be in force.
const settingsBound = 3 * time.Second

// Guards against settings that never come into force after the store was restored from an older copy,
// because the controllers or the nodes hold higher versions and numbers from before.
func TestSettingsWrittenAfterARestoreAreAccepted(t *testing.T) {
	c := newCluster(t, "dc1-a", "dc1-b")
	c.apply(30)
	c.eventually("in force", func() bool { return c.status().Elapsed > 0 })
	saved := c.server.Store().Copy()
	for _, seconds := range []int{40, 45} {
		c.apply(seconds)
		c.eventually("in force", func() bool {
			return c.status().Elapsed > 0 && c.newestSpecs()[fmt.Sprintf(feedSpec, seconds)] == len(c.network.meshes)
		})
	}
	c.server.Store().Restore(saved)
	c.apply(45) // the operator writes again what was lost
	c.apply(50)
	want := fmt.Sprintf(feedSpec, 50)
	for until := time.Now().Add(settingsBound); c.newestSpecs()[want] < len(c.network.meshes); {
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, time.Now().Before(until), "in force: %q, status %+v", c.newestSpecs(), c.status())
	}
}

// newestSpecs returns the number of nodes by the spec that they have applied last.
func (c *cluster) newestSpecs() map[string]int {
	specs := map[string]int{}
	for _, m := range c.network.meshes {
		r, _ := m.Revision(c.service.ID())
		specs[string(r.Spec)]++
	}
	return specs
}

package registry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/registry"
)

// Guards against records of nodes that are gone for good which stay in the store, and against the removal of records of nodes that live: those that
// renew, and those that are heard but cannot reach the store.
func TestOnlyRecordsWithoutRenewalAreStale(t *testing.T) {
	var o registry.Observer
	heard := func(name string) bool { return name == "cut-off" }
	gone := registry.Record{Name: "gone", Revision: 5}
	for step := range 20 {
		now := time.Duration(step) * 10 * time.Minute
		list := []registry.Record{gone, {Name: "cut-off", Revision: 6}, {Name: "alive", Revision: 7 + uint64(now/registry.RenewInterval)}}
		stale := o.Observe(now, list, heard)
		if now <= 3*registry.RenewInterval {
			assert.Equal(t, len(stale), 0, "%v", now)
			continue
		}
		assert.DeepEqual(t, stale, []registry.Record{gone})
	}
}

// Guards against an observer that starts and removes what it has not seen for long, and against a node that comes back under its name.
func TestFirstSightStartsTheWait(t *testing.T) {
	var o registry.Observer
	silent := func(string) bool { return false }
	assert.Equal(t, len(o.Observe(100*time.Hour, []registry.Record{{Name: "a", Revision: 5}}, silent)), 0)
	assert.Equal(t, len(o.Observe(101*time.Hour, []registry.Record{{Name: "a", Revision: 9}}, silent)), 0)
	assert.Equal(t, len(o.Observe(102*time.Hour, []registry.Record{{Name: "a", Revision: 9}}, silent)), 0)
	assert.Equal(t, len(o.Observe(103*time.Hour, []registry.Record{{Name: "a", Revision: 9}}, silent)), 1)
}

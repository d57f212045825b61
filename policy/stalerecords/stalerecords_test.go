package stalerecords_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/stalerecords"
)

// Guards against records that stay in the store after their nodes are gone for good, and against
// removing records of running nodes: those that renew them, and those that send heartbeats but
// can't reach the store.
func TestOnlyRecordsWithoutRenewalAreStale(t *testing.T) {
	var o stalerecords.Observer
	isLive := func(name string) bool { return name == "cut-off" }
	gone := stalerecords.Record{Name: "gone", Revision: 5}
	for step := range 20 {
		now := time.Duration(step) * 10 * time.Minute
		list := []stalerecords.Record{gone, {Name: "cut-off", Revision: 6},
			{Name: "alive", Revision: 7 + uint64(now/stalerecords.RenewInterval)}}
		stale := o.Observe(now, list, isLive)
		if now <= 3*stalerecords.RenewInterval {
			assert.Equal(t, len(stale), 0, "%v", now)
			continue
		}
		assert.DeepEqual(t, stale, []stalerecords.Record{gone})
	}
}

// Guards against an observer that has just started and removes records that it never saw renewed,
// and against removing the record of a node that returned under its name.
func TestStalenessCountsFromFirstObservation(t *testing.T) {
	var o stalerecords.Observer
	neverLive := func(string) bool { return false }
	assert.Equal(t, len(o.Observe(100*time.Hour, []stalerecords.Record{{Name: "a", Revision: 5}}, neverLive)), 0)
	assert.Equal(t, len(o.Observe(101*time.Hour, []stalerecords.Record{{Name: "a", Revision: 9}}, neverLive)), 0)
	assert.Equal(t, len(o.Observe(102*time.Hour, []stalerecords.Record{{Name: "a", Revision: 9}}, neverLive)), 0)
	assert.Equal(t, len(o.Observe(103*time.Hour, []stalerecords.Record{{Name: "a", Revision: 9}}, neverLive)), 1)
}

// Guards against removing the record of a node that wrote it again after a restore of the store, in
// which it got the revision that it had before.
func TestRecordOfAnotherEraCountsAsRenewed(t *testing.T) {
	var o stalerecords.Observer
	neverLive := func(string) bool { return false }
	for era := uint64(1); era <= 3; era++ {
		now := time.Duration(era) * 2 * time.Hour
		assert.Equal(t, len(o.Observe(now, []stalerecords.Record{{Name: "a", Era: era, Revision: 5}}, neverLive)), 0)
	}
	assert.Equal(t, len(o.Observe(8*time.Hour, []stalerecords.Record{{Name: "a", Era: 3, Revision: 5}}, neverLive)), 1)
}

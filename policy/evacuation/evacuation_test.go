package evacuation_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewinglever.dev/policy/evacuation"
	"lacewinglever.dev/policy/ident"
)

func setAt(era, revision uint64, names ...string) *evacuation.Set {
	return evacuation.NewSet(evacuation.Position{Era: era, Revision: revision}, names)
}

func assertEvacuated(t *testing.T, c *evacuation.Current, now time.Duration, want ...ident.DataCentre) {
	t.Helper()
	assert.Assert(t, slices.Equal(c.Evacuated(now), want), "at %v: %v, want %v", now, c.Evacuated(now), want)
}

// Guards against nodes that return to an older set, which another node or a late answer of the store still has.
func TestOlderSetsAreIgnored(t *testing.T) {
	var c evacuation.Current
	assert.Assert(t, c.Load() == nil)
	assertEvacuated(t, &c, 0)
	change, ok := c.Offer(0, setAt(1, 10, "b", "a", "b"))
	assert.Assert(t, ok)
	assert.DeepEqual(t, change, evacuation.Change{Evacuated: []ident.DataCentre{"a", "b"}})
	for _, older := range []*evacuation.Set{setAt(1, 9), setAt(1, 10), setAt(0, 90)} {
		_, ok := c.Offer(0, older)
		assert.Assert(t, !ok, "%v", older.Position)
		assertEvacuated(t, &c, 0, "a", "b")
	}
	change, ok = c.Offer(0, setAt(1, 11, "b"))
	assert.Assert(t, ok)
	assert.DeepEqual(t, change, evacuation.Change{Withdrawn: []ident.DataCentre{"a"}})
	change, ok = c.Offer(0, setAt(1, 12, "b"))
	assert.Assert(t, ok && change.IsZero(), "a later position of the same set")
}

// Guards against new flows in an evacuated data centre because a restore of the store has lost the request, and
// against a data centre that stays evacuated although the request was withdrawn.
func TestRequestsLostWithARestore(t *testing.T) {
	const restored = time.Minute
	hold := evacuation.RestoreHold
	var c evacuation.Current
	c.Offer(0, setAt(1, 10, "a", "b"))
	change, ok := c.Offer(restored, setAt(2, 4, "c"))
	assert.Assert(t, ok)
	assert.DeepEqual(t, change, evacuation.Change{Evacuated: []ident.DataCentre{"c"}})
	assertEvacuated(t, &c, restored+hold-1, "a", "b", "c")

	c.Offer(restored+time.Second, setAt(2, 5, "a")) // written again, and c withdrawn
	assertEvacuated(t, &c, restored+time.Second, "a", "b")
	assertEvacuated(t, &c, restored+hold, "a")
	change = c.Update(restored + hold)
	assert.DeepEqual(t, change, evacuation.Change{Withdrawn: []ident.DataCentre{"b"}})
	c.Offer(restored+2*time.Second, setAt(2, 6))
	assertEvacuated(t, &c, restored+2*time.Second)
}

// Guards against a withdrawal in the new era that has no effect because the data centre was evacuated before the restore.
func TestWithdrawalAfterTheRequestWasWrittenAgain(t *testing.T) {
	var c evacuation.Current
	c.Offer(0, setAt(1, 10, "a"))
	c.Offer(time.Second, setAt(2, 4))
	c.Offer(2*time.Second, setAt(2, 5, "a"))
	c.Offer(2500*time.Millisecond, setAt(2, 6))
	assertEvacuated(t, &c, 2500*time.Millisecond)
}

// Guards against a hold that ends early because the store is restored again before the operator has written the request.
func TestSecondRestoreExtendsTheHold(t *testing.T) {
	var c evacuation.Current
	c.Offer(0, setAt(1, 10, "a"))
	c.Offer(time.Second, setAt(2, 4))
	c.Offer(3*time.Second, setAt(3, 4))
	assertEvacuated(t, &c, 5*time.Second, "a")
	assertEvacuated(t, &c, 6*time.Second)
}

// Guards against heartbeats that exceed a datagram because another writer has stored many or long names.
func TestSetsAreBounded(t *testing.T) {
	var names []string
	for i := range 1000 {
		names = append(names, fmt.Sprintf("dc-%03d", i), strings.Repeat("x", 65+i))
	}
	s := setAt(1, 1, append(names, "")...)
	assert.Equal(t, len(s.DataCentres), 42) // of 6 bytes each
	assert.Equal(t, s.DataCentres[0], ident.DataCentre("dc-000"))
}

// Guards against nodes that end with different evacuated data centres because they received the sets in
// different orders, or not all of them.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sets []*evacuation.Set
		era, revision := uint64(1), uint64(10)
		for range rapid.IntRange(1, 20).Draw(t, "sets") {
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				era, revision = era+1, uint64(rapid.IntRange(1, 10).Draw(t, "revision"))
			}
			revision++
			names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3).Draw(t, "names")
			sets = append(sets, setAt(era, revision, names...))
		}
		newest := sets[len(sets)-1]
		for range 3 {
			var c evacuation.Current
			for _, s := range rapid.Permutation(sets).Draw(t, "order") {
				if rapid.Bool().Draw(t, "missed") {
					continue
				}
				before := c.Load()
				c.Offer(0, s)
				assert.Assert(t, before == nil || c.Load().Compare(before.Position) >= 0)
			}
			c.Offer(0, newest)
			assert.DeepEqual(t, c.Load(), newest)
			for _, dc := range newest.DataCentres {
				assert.Assert(t, slices.Contains(c.Evacuated(0), dc))
			}
			assert.Assert(t, slices.Equal(c.Evacuated(evacuation.RestoreHold), newest.DataCentres))
		}
	})
}

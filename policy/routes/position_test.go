package routes_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewinglever.dev/policy/routes"
)

// Guards against routes of before a restore that stay in force because the store gives their revision
// out again, and against older ones that replace newer ones because the store returned to them.
func TestPositionsAcrossRestores(t *testing.T) {
	inOrder := []routes.Position{
		{},
		{Version: 6, Era: 1, Revision: 18},
		{Version: 6, Era: 2, Revision: 18},  // the copy has it
		{Version: 13, Era: 1, Revision: 20}, // lost
		{Version: 13, Era: 2, Revision: 19}, // written again
		{Version: 16, Era: 2, Revision: 20},
		{Version: 16, Era: 3, Revision: 18},
		{Version: 16, Era: 3, Revision: 19}, // written again without need
		{Version: 17, Era: 3, Revision: 17},
	}
	for i := range inOrder {
		for j := range inOrder {
			assert.Equal(t, inOrder[i].NewerThan(inOrder[j]), i > j, "%v, %v", inOrder[i], inOrder[j])
		}
	}
}

// storedTables draws the tables that nodes can read from a store that is restored now and then, to any
// earlier state. The operator writes what was lost again, and never lowers its version.
func storedTables(t *rapid.T) []*routes.Table {
	content := map[int64]*routes.Table{}
	var states, read []*routes.Table
	version, era, revision := int64(0), uint64(1), uint64(10)
	write := func() {
		if content[version] == nil {
			content[version] = table(t, 0)
		}
		stored := *content[version]
		revision += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
		stored.Position = routes.Position{Version: version, Era: era, Revision: revision}
		states, read = append(states, &stored), append(read, &stored)
	}
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		if len(states) == 0 || rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
			version += int64(rapid.IntRange(1, 4).Draw(t, "version"))
			write()
			continue
		}
		states = states[:rapid.IntRange(1, len(states)).Draw(t, "copy")]
		copied := *states[len(states)-1]
		era, revision = era+1, copied.Revision
		copied.Era = era
		read = append(read, &copied)
		if rapid.Bool().Draw(t, "again") {
			write()
		}
	}
	return read
}

// Guards against nodes that end with different routes, or with others than the operator's newest,
// because they read the store in different orders across restores or got changes from each other.
func TestNodesAgreeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		read := storedTables(t)
		nodes := make([]routes.Current, 3)
		newest := read[0]
		for _, stored := range read {
			if stored.NewerThan(newest.Position) {
				newest = stored
			}
		}
		for i := range nodes {
			for _, stored := range rapid.Permutation(read).Draw(t, "order") {
				if rapid.Bool().Draw(t, "missed") {
					continue
				}
				before := nodes[i].Position()
				nodes[i].Offer(stored)
				assert.Assert(t, !before.NewerThan(nodes[i].Position()), "returned from %v to %v", before, nodes[i].Position())
			}
		}
		nodes[0].Offer(newest)
		for i := range nodes {
			for _, c := range nodes[0].ChangesSince(nodes[i].Position()) {
				next, err := c.Apply(nodes[i].Load())
				assert.NilError(t, err)
				nodes[i].Offer(next)
			}
			got := nodes[i].Load()
			assert.Equal(t, got.Position, newest.Position)
			assert.DeepEqual(t, got.Routes, newest.Routes, equalAddresses)
			assert.DeepEqual(t, got.Services, newest.Services)
		}
	})
}

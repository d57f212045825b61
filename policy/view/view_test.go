package view

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

func members(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		name := fmt.Sprintf("agent-%d", i)
		out[i] = Member{Node: record.Node{ID: ident.NewNodeID(name), Name: name, State: record.Ready}, Weight: 1}
	}
	return out
}

// Guards against nodes with the same members that compute different homes because the members
// changed in another order.
func TestIncrementalBuildEqualsFull(t *testing.T) {
	all := members(24)
	v := Build(nil, 1, DefaultSlots, all[:7])
	// Pools above and below maxSmallPool, and changes across it.
	for _, step := range [][]Member{all[:8], all[1:8], all[1:12], all[2:16], all[:16], all[3:5], all[:20], all[4:24], all} {
		v = Build(v, 1, DefaultSlots, step)
		full := Build(nil, 1, DefaultSlots, step)
		assert.DeepEqual(t, v.slotTable, full.slotTable)
		assert.Equal(t, v.Digest, full.Digest)
	}
	heavier := members(24)
	heavier[4].Weight = 3
	v = Build(v, 1, DefaultSlots, heavier)
	assert.DeepEqual(t, v.slotTable, Build(nil, 1, DefaultSlots, heavier).slotTable)
}

// Guards against the removal of one member that moves flows between the others.
func TestRemovalMovesOnlyItsSlots(t *testing.T) {
	all := members(7)
	before := Build(nil, 1, DefaultSlots, all)
	gone := all[2].Node.ID
	after := Build(before, 1, DefaultSlots, append(append([]Member{}, all[:2]...), all[3:]...))
	for slot := range uint64(DefaultSlots) {
		old, _ := before.Home(slot)
		now, _ := after.Home(slot)
		assert.Assert(t, old.Node.ID == gone || old.Node.ID == now.Node.ID)
	}
}

// Guards against a home in a pool that is empty or has only joining members.
func TestNoHome(t *testing.T) {
	joining := members(1)
	joining[0].Node.State = record.Joining
	for _, m := range [][]Member{nil, joining} {
		_, ok := Build(nil, 1, DefaultSlots, m).Home(5)
		assert.Assert(t, !ok)
	}
}

func BenchmarkHome(b *testing.B) {
	for _, n := range []int{7, 2300} {
		slots := DefaultSlots
		if n > 100 {
			slots = MaxSlots
		}
		v := Build(nil, 1, slots, members(n))
		key := ident.FlowKey{Service: 1}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				key.Caller[17] = byte(i)
				key.Caller[16] = byte(i >> 8)
				v.Home(key.Hash())
			}
		})
	}
}

package storereader_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/storereader"
)

// Guards against a data centre in which no node reads the store, or every node does.
func TestOneNodeReads(t *testing.T) {
	nodes := []ident.NodeID{11, 12, 13, 14}
	count := 0
	for i, self := range nodes {
		others := append(append([]ident.NodeID{}, nodes[:i]...), nodes[i+1:]...)
		if storereader.IsReader(self, others) {
			count++
		}
	}
	assert.Equal(t, count, 1)
	assert.Assert(t, storereader.IsReader(11, nil))
}

// Guards against a data centre without a reader that reaches the store, and against all nodes trying.
func TestReadersThatCannotReachTheStoreAreReplaced(t *testing.T) {
	var nodes []ident.NodeID
	for i := range 40 {
		nodes = append(nodes, ident.NodeID(100+i))
	}
	lost := map[ident.NodeID]bool{}
	reader := func() ident.NodeID {
		var readers []ident.NodeID
		for i, self := range nodes {
			others := append(append([]ident.NodeID{}, nodes[:i]...), nodes[i+1:]...)
			if storereader.IsReaderAmong(self, others, func(id ident.NodeID) bool { return !lost[id] }) {
				readers = append(readers, self)
			}
		}
		assert.Equal(t, len(readers), 1)
		return readers[0]
	}
	first := reader()
	tried := map[ident.NodeID]bool{}
	for range 20 {
		r := reader()
		tried[r], lost[r] = true, true
	}
	assert.Equal(t, len(tried), 5)
	assert.Equal(t, reader(), first, "the first one keeps trying")
	for id := range lost {
		if id != first {
			delete(lost, id)
			assert.Equal(t, reader(), id, "the one that reaches it again")
			break
		}
	}
}

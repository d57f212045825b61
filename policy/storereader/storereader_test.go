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

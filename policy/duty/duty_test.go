package duty_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/duty"
	"lacewinglever.dev/policy/ident"
)

// Guards against a data centre in which nobody reads the store, or everybody does.
func TestOneNodeReads(t *testing.T) {
	nodes := []ident.NodeID{11, 12, 13, 14}
	count := 0
	for i, self := range nodes {
		others := append(append([]ident.NodeID{}, nodes[:i]...), nodes[i+1:]...)
		if duty.IsReader(self, others) {
			count++
		}
	}
	assert.Equal(t, count, 1)
	assert.Assert(t, duty.IsReader(11, nil))
}

package steering_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/steering"
)

// Guards against searches that ask all agents of a large service before the likely ones of another.
func TestSearchesAskTheTopOfEachServiceFirst(t *testing.T) {
	agents := pool(12)
	var want []string
	for _, i := range []int{0, 1, 2, 3, 6, 7, 8, 9, 4, 5, 10, 11} {
		want = append(want, agents[i].Name)
	}
	steering.MergeRanked(agents, []int{6, 12})
	var got []string
	for i := range agents {
		got = append(got, agents[i].Name)
	}
	assert.DeepEqual(t, got, want)
}

package steering_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

// Guards against new flows that are placed in an evacuated data centre.
func TestWithoutEvacuated(t *testing.T) {
	for _, c := range []struct {
		evacuated []ident.DataCentre
		want      int
	}{
		{nil, 3}, {[]ident.DataCentre{"z"}, 3}, {[]ident.DataCentre{"x"}, 1}, {[]ident.DataCentre{"x", "y"}, 0},
	} {
		var agents []roster.Peer
		for i, dc := range []ident.DataCentre{"x", "y", "x"} {
			agents = append(agents, roster.Peer{Node: roster.Node{ID: ident.NodeID(i), DataCentre: dc}})
		}
		rest := steering.WithoutEvacuated(agents, c.evacuated)
		assert.Equal(t, len(rest), c.want, "%v", c.evacuated)
		for _, p := range rest {
			assert.Assert(t, !slices.Contains(c.evacuated, p.DataCentre))
		}
	}
}

package steering_test

import (
	"fmt"
	"testing"

	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

// BenchmarkPlace gives the cost of placing one flow by the size of the pool, for docs/CAPACITY.md.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{7, 60, 300, 2300} {
		r := roster.New(1)
		for i, p := range pool(n) {
			p.ID += 1 << 32
			r.RecordHeartbeat(0, p.Node, roster.Heartbeat{Sequence: uint64(i + 1), Target: p.Target})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var agents []roster.Peer
			i := uint64(0)
			for b.Loop() {
				i++
				agents = r.Agents(agents[:0], "s")
				steering.Rank(i*0x9e3779b97f4a7c15, "dc-1", agents)
				steering.Place(0, steering.Requirements{Origin: "dc-1"}, agents)
			}
		})
	}
}

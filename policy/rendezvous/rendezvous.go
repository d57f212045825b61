// Package rendezvous computes weighted rendezvous hash scores.
package rendezvous

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// unitScale maps the top 53 bits of a hash to the open interval (0, 1).
const unitScale = 1.0 / (1 << 53)

// Hash returns the score of node for key. Among nodes of equal weight, the one with the highest
// score is selected.
func Hash(key, node uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], key)
	binary.BigEndian.PutUint64(b[8:], node)
	return xxhash.Sum64(b[:])
}

// Score returns the score of node for key. The node with the highest score is selected; over all
// keys, each node is selected in proportion to its weight. A weight that is not positive scores
// below every other.
func Score(key, node uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	unit := (float64(Hash(key, node)>>11) + 0.5) * unitScale
	return weight / -math.Log(unit)
}

// Top returns the n nodes with the highest scores for key, best first. All weights are equal. It is
// meant for small sets, such as the watchers of an agent.
func Top[T ~uint64](key uint64, nodes []T, n int) []T {
	type scored struct {
		node  T
		score float64
	}
	best := make([]scored, 0, n+1)
	for _, node := range nodes {
		s := scored{node, Score(key, uint64(node), 1)}
		i := len(best)
		for i > 0 && best[i-1].score < s.score {
			i--
		}
		if i >= n {
			continue
		}
		best = append(best, scored{})
		copy(best[i+1:], best[i:])
		best[i] = s
		best = best[:min(len(best), n)]
	}
	out := make([]T, len(best))
	for i, s := range best {
		out[i] = s.node
	}
	return out
}

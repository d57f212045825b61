// Package placement chooses the owner of a new flow from load reports. The home keeps the flow
// while its target is not above its share of the load; otherwise the less loaded of two random
// targets gets it.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"lacewinglever.dev/policy/ident"
)

const (
	// loadBoundFactor is the ratio of the home's connections to its share up to which the home
	// keeps a new flow. Keeping it saves the flow a hop.
	loadBoundFactor   = 1.02
	fullyWarmPerMille = 1000
)

// Report is the load report of one target of the pool.
type Report struct {
	Node         ident.NodeID
	Weight       float64
	Connections  uint32
	WarmPerMille uint32 // 1000 when warm; scales Weight
	Eligible     bool   // ready, not suspect and not shedding
	Sequence     uint64 // changes with each new load report of the target
}

// target is a report with the placements since it.
type target struct {
	Report
	placed          float64 // flows placed by this home, with an estimate for the other homes
	effectiveWeight float64 // Weight scaled by WarmPerMille
}

// estimatedConnections returns the estimate of the target's current connections.
func (t *target) estimatedConnections() float64 { return float64(t.Connections) + t.placed }

func (t *target) isEligible() bool { return t.Eligible && t.effectiveWeight > 0 }

// Chooser chooses owners for one home. Its methods may be called from any goroutine.
type Chooser struct {
	mu               sync.Mutex
	self             ident.NodeID
	rand             *rand.Rand
	targets          []target
	selfIndex        int     // index of self in targets, -1 if absent
	otherEligible    []int   // indexes of the eligible targets other than self
	totalWeight      float64 // effective weight of the eligible targets
	otherConnections float64 // estimated connections of the eligible targets other than self
}

// New returns a chooser without targets for the agent self. The seed determines the random choices.
func New(self ident.NodeID, seed uint64) *Chooser {
	return &Chooser{self: self, rand: rand.New(rand.NewPCG(seed, uint64(self))), selfIndex: -1}
}

// Update replaces the reports. Flows placed on a target since its last report count until its next
// one.
func (c *Chooser) Update(reports []Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := make([]target, len(reports))
	for i, r := range reports {
		targets[i] = target{
			Report:          r,
			effectiveWeight: r.Weight * float64(min(r.WarmPerMille, fullyWarmPerMille)) / fullyWarmPerMille,
		}
		if old := c.find(r.Node); old != nil && old.Sequence == r.Sequence {
			targets[i].placed = old.placed
		}
	}
	slices.SortFunc(targets, func(a, b target) int { return cmp.Compare(a.Node, b.Node) })
	c.targets = targets
	c.updateTotals()
}

func (c *Chooser) find(id ident.NodeID) *target {
	i, ok := slices.BinarySearchFunc(c.targets, id, func(t target, id ident.NodeID) int {
		return cmp.Compare(t.Node, id)
	})
	if !ok {
		return nil
	}
	return &c.targets[i]
}

// updateTotals computes what Place needs, so that the cost of Place does not depend on the size of
// the pool.
func (c *Chooser) updateTotals() {
	c.selfIndex, c.totalWeight, c.otherConnections = -1, 0, 0
	c.otherEligible = c.otherEligible[:0]
	for i := range c.targets {
		t := &c.targets[i]
		if t.Node == c.self {
			c.selfIndex = i
		}
		if !t.isEligible() {
			continue
		}
		c.totalWeight += t.effectiveWeight
		if t.Node != c.self {
			c.otherConnections += t.estimatedConnections()
			c.otherEligible = append(c.otherEligible, i)
		}
	}
}

// Place chooses the owner of a new flow. own is the current number of connections of this agent's
// target. It returns false if no target is eligible.
func (c *Chooser) Place(own int) (ident.NodeID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isHomeEligible := c.selfIndex >= 0 && c.targets[c.selfIndex].isEligible()
	if isHomeEligible && c.isUnderBound(float64(own), c.targets[c.selfIndex].effectiveWeight) {
		return c.self, true
	}
	best := c.twoChoices()
	if best == nil {
		return c.self, isHomeEligible
	}
	// The other homes have the same reports and place flows on the same target. If each counted
	// only its own flows, all of them would choose that target at once.
	best.placed += float64(len(c.otherEligible))
	c.otherConnections++
	return best.Node, true
}

// isUnderBound reports whether the home's connections are below its share of the total plus the
// tolerance.
func (c *Chooser) isUnderBound(own, weight float64) bool {
	share := (c.otherConnections + own) * weight / c.totalWeight
	return own < math.Ceil(loadBoundFactor*share)+1
}

// twoChoices draws two of the other eligible targets and returns the one with fewer connections per
// weight. It returns nil if there is none.
func (c *Chooser) twoChoices() *target {
	n := len(c.otherEligible)
	if n == 0 {
		return nil
	}
	i := c.rand.IntN(n)
	a := &c.targets[c.otherEligible[i]]
	if n == 1 {
		return a
	}
	j := c.rand.IntN(n - 1)
	if j >= i {
		j++
	}
	b := &c.targets[c.otherEligible[j]]
	if (b.estimatedConnections()+1)/b.effectiveWeight < (a.estimatedConnections()+1)/a.effectiveWeight {
		return b
	}
	return a
}

// Package placement chooses the owner of a new flow from load reports.
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
	// boundFactor is how far above the mean the home may be and still keep a new flow, which saves the flow a hop.
	boundFactor = 1.02
	fullyWarm   = 1000
)

// Report is what is known of one target of the pool.
type Report struct {
	Node         ident.NodeID
	Weight       float64
	Connections  uint32
	WarmPerMille uint32 // 1000 when warm; scales the weight
	Eligible     bool   // ready, not suspect and not shedding
	Sequence     uint64 // changes with each new load report of the target
}

// target is a report with what was placed since.
type target struct {
	Report
	placed float64 // by this home, and by the other homes as far as they can be taken to place alike
	weight float64
}

// connections returns the estimate of the target's present connections.
func (t *target) connections() float64 { return float64(t.Connections) + t.placed }

func (t *target) eligible() bool { return t.Eligible && t.weight > 0 }

// Chooser chooses owners. Its methods may be called from any goroutine.
type Chooser struct {
	mu       sync.Mutex
	self     ident.NodeID
	rand     *rand.Rand
	targets  []target
	own      int   // index of self in targets, -1 if absent
	eligible []int // indexes of the eligible targets other than self
	weights  float64
	others   float64 // estimated connections of the eligible targets other than self
}

// New returns a chooser for the agent self, without targets. The seed decides the random draws.
func New(self ident.NodeID, seed uint64) *Chooser {
	return &Chooser{self: self, rand: rand.New(rand.NewPCG(seed, uint64(self))), own: -1}
}

// Update replaces the reports. Flows placed on a target since its last report count until its next one.
func (c *Chooser) Update(reports []Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := make([]target, len(reports))
	for i, r := range reports {
		targets[i] = target{Report: r, weight: r.Weight * float64(min(r.WarmPerMille, fullyWarm)) / fullyWarm}
		if old := c.find(r.Node); old != nil && old.Sequence == r.Sequence {
			targets[i].placed = old.placed
		}
	}
	slices.SortFunc(targets, func(a, b target) int { return cmp.Compare(a.Node, b.Node) })
	c.targets = targets
	c.index()
}

func (c *Chooser) find(id ident.NodeID) *target {
	i, ok := slices.BinarySearchFunc(c.targets, id, func(t target, id ident.NodeID) int { return cmp.Compare(t.Node, id) })
	if !ok {
		return nil
	}
	return &c.targets[i]
}

// index computes what Place needs, so that its cost does not depend on the size of the pool.
func (c *Chooser) index() {
	c.own, c.weights, c.others = -1, 0, 0
	c.eligible = c.eligible[:0]
	for i := range c.targets {
		t := &c.targets[i]
		if t.Node == c.self {
			c.own = i
		}
		if !t.eligible() {
			continue
		}
		c.weights += t.weight
		if t.Node != c.self {
			c.others += t.connections()
			c.eligible = append(c.eligible, i)
		}
	}
}

// Place chooses the owner of a new flow. own is the number of connections of this agent's target now. It returns false if no target is
// eligible.
func (c *Chooser) Place(own int) (ident.NodeID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	home := c.own >= 0 && c.targets[c.own].eligible()
	if home && c.underBound(float64(own), c.targets[c.own].weight) {
		return c.self, true
	}
	best := c.better()
	if best == nil {
		return c.self, home
	}
	// The other homes have the same reports and place on the same target. Counting only the own flows lets all of them choose it at once.
	best.placed += float64(len(c.eligible))
	c.others++
	return best.Node, true
}

// underBound tells whether the home's connections are under its share of the total, plus the tolerance.
func (c *Chooser) underBound(own, weight float64) bool {
	share := (c.others + own) * weight / c.weights
	return own < math.Ceil(boundFactor*share)+1
}

// better draws two of the other eligible targets and returns the one with fewer connections for its weight.
func (c *Chooser) better() *target {
	n := len(c.eligible)
	if n == 0 {
		return nil
	}
	i := c.rand.IntN(n)
	a := &c.targets[c.eligible[i]]
	if n == 1 {
		return a
	}
	j := c.rand.IntN(n - 1)
	if j >= i {
		j++
	}
	b := &c.targets[c.eligible[j]]
	if (b.connections()+1)/b.weight < (a.connections()+1)/a.weight {
		return b
	}
	return a
}

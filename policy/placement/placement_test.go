package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
)

// pool simulates homes that place flows on each other's targets and learn of each other by load reports every round.
type pool struct {
	choosers    []*Chooser
	connections []int
	reports     []Report
}

func newPool(n int) *pool {
	p := &pool{connections: make([]int, n)}
	for i := range n {
		p.reports = append(p.reports, Report{Node: ident.NodeID(i + 1), Weight: 1, WarmPerMille: fullyWarm, Eligible: true, Sequence: 1})
		p.choosers = append(p.choosers, New(ident.NodeID(i+1), 5))
	}
	p.report(1)
	return p
}

func (p *pool) report(number int) {
	for i := range p.reports {
		p.reports[i].Connections = uint32(p.connections[i])
		p.reports[i].Sequence = uint64(number)
	}
	for _, c := range p.choosers {
		c.Update(p.reports)
	}
}

func (p *pool) place(home int) int {
	id, ok := p.choosers[home].Place(p.connections[home])
	if !ok {
		return -1
	}
	p.connections[id-1]++
	return int(id - 1)
}

func (p *pool) imbalance() float64 {
	most, sum := 0, 0
	for _, n := range p.connections {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(len(p.connections)) / float64(sum)
}

// Guards against homes that all send new flows to the target which was the least loaded one in the last report.
func TestBalanceAtTwoThousandConnections(t *testing.T) {
	for _, perRound := range []int{35, 350, 1400, 3500} {
		for _, targets := range []int{3, 4, 7} {
			r := rand.New(rand.NewPCG(3, uint64(perRound)))
			p := newPool(targets)
			for i := range 2000 * targets {
				if i%perRound == 0 {
					p.report(2 + i)
				}
				// Homes have unequal shares of the callers.
				p.place(min(r.IntN(targets), r.IntN(targets)+1))
			}
			t.Logf("%d targets, %d flows per report: max/mean %.4f", targets, perRound, p.imbalance())
			assert.Assert(t, p.imbalance() <= 1.05)
		}
	}
}

// Guards against new flows on targets that must not get any.
func TestNotEligible(t *testing.T) {
	p := newPool(4)
	p.reports[0].Eligible = false
	p.reports[1].WarmPerMille = 0
	p.reports[2].Weight = 0
	p.report(2)
	for range 100 {
		for home := range 4 {
			assert.Equal(t, p.place(home), 3)
		}
	}
	p.reports[3].Eligible = false
	p.report(3)
	assert.Equal(t, p.place(0), -1)
}

// Guards against weights and warm-up being ignored.
func TestWeights(t *testing.T) {
	p := newPool(3)
	p.reports[0].Weight = 2
	p.reports[2].WarmPerMille = fullyWarm / 2
	for i := range 7000 {
		p.report(2 + i)
		p.place(i % 3)
	}
	for i, want := range []float64{4000, 2000, 1000} {
		got := float64(p.connections[i])
		assert.Assert(t, got > 0.95*want && got < 1.05*want, "target %d has %v of %v", i, got, want)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{7, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPool(n)
			b.ReportAllocs()
			for b.Loop() {
				p.choosers[0].Place(1000)
			}
		})
	}
}

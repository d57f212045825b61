package steering

import (
	"math"
	"time"

	"lacewinglever.dev/policy/outlier"
	"lacewinglever.dev/policy/rendezvous"
	"lacewinglever.dev/policy/roster"
)

const (
	// outlierPoolPart is the part of a pool of which at most one target is avoided as an outlier: the
	// others must be able to carry its flows.
	outlierPoolPart = 3
	// probedRate is the number of requests per second from which a target shows by them whether it has
	// recovered. The penalty for failures keeps others away: without it, targets that break requests off
	// at once would get three times as many.
	probedRate = 1
	// outlierSalt makes the choice of the flows that an outlier gets independent of the rank of agents.
	outlierSalt = 0x5bd1e995
)

// outliersOf returns the verdicts of the pool's outliers, by index of the agents. Only agents that accept
// new flows form the pool: others have no recent news, and get no flows anyway.
func outliersOf(now time.Duration, agents []roster.Peer) []outlier.Verdict {
	least, greatest, failing := time.Duration(math.MaxInt64), time.Duration(0), 0.0
	for i := range agents {
		t := &agents[i].Target
		if t.Slowdown > 0 {
			least, greatest = min(least, t.Slowdown), max(greatest, t.Slowdown)
		}
		failing = max(failing, t.Failing)
	}
	if greatest == 0 {
		least = 0
	}
	if !outlier.MaySplit(least, greatest, failing) {
		return nil
	}
	var indices []int
	pool := measurements(now, agents, &indices)
	verdicts, _ := outlier.Judge(pool, MaxOutliers(len(pool)))
	for i := range verdicts {
		verdicts[i].Index = indices[verdicts[i].Index]
	}
	return verdicts
}

// Measurements returns what the agents report of their targets, as far as those accept new flows.
func Measurements(now time.Duration, agents []roster.Peer) []outlier.Measurement {
	return measurements(now, agents, nil)
}

// measurements also appends the index of each agent, unless indices is nil.
func measurements(now time.Duration, agents []roster.Peer, indices *[]int) []outlier.Measurement {
	pool := make([]outlier.Measurement, 0, len(agents)+1)
	for i := range agents {
		p := &agents[i]
		if !AcceptsNewFlows(p, now) {
			continue
		}
		pool = append(pool, outlier.Measurement{ID: uint64(p.ID), Time: p.Target.Slowdown, Failing: p.Target.Failing})
		if indices != nil {
			*indices = append(*indices, i)
		}
	}
	return pool
}

// MeanSlowdown returns the mean time of a request, without its wait for a slot, over the targets of which it
// is known; 0 if there is none.
func MeanSlowdown(agents []roster.Peer) time.Duration {
	sum, known := time.Duration(0), time.Duration(0)
	for i := range agents {
		if d := agents[i].Target.Slowdown; d > 0 {
			sum += d
			known++
		}
	}
	return sum / max(known, 1)
}

// MaxOutliers returns the number of targets of a pool that may be avoided at once.
func MaxOutliers(targets int) int { return targets / outlierPoolPart }

// verdictOn returns the verdict on the agent at the index i, nil if its target is no outlier.
func verdictOn(i int, outliers []outlier.Verdict) *outlier.Verdict {
	for k := range outliers {
		if outliers[k].Index == i {
			return &outliers[k]
		}
	}
	return nil
}

// getsFlow reports whether a flow is among the share of flows that an agent gets. All nodes and all copies of
// the flow's opening packet agree. An outlier that has lost its flows is idle and wins each comparison of
// loads with the other local candidates, so that it is left out more often at small shares.
func getsFlow(p *roster.Peer, flow uint64, share float64) bool {
	if flow == 0 {
		return false
	}
	chance := share * (1 + (localCandidates-1)*share) / localCandidates
	return float64(rendezvous.Hash(flow^outlierSalt, uint64(p.ID)))/math.MaxUint64 < chance
}

package steering

import (
	"math"
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/outlier"
	"lacewinglever.dev/policy/roster"
)

// Reach is which data centres the placement of a new flow considers.
type Reach uint8

// Reaches of a placement.
const (
	// ReachFixed considers localCandidates in the caller's data centre and remoteCandidates in all
	// others, for which remotePenalty counts. It is that of a node without a locality decision.
	ReachFixed  Reach = iota
	ReachHome         // the caller's data centre
	ReachEither       // that one, and another one if the flow is served sooner there
	ReachRemote       // the destinations
)

// overflowLoad is the number of requests per slot below which a target in another data centre gets a flow
// for which no target of the caller's has capacity: one in service and one that waits. Such a flow would be
// held until it is late, while a target elsewhere can serve it in time.
const overflowLoad = 2

// Destination is a data centre that may get new flows of another one.
type Destination struct {
	DataCentre ident.DataCentre
	// Penalty is added to the load per slot of its targets when they are compared with targets of the
	// caller's data centre: the round trip and the price of bytes, in requests of the pool.
	Penalty float64
}

// Locality is the part of a placement that package locality decides. The zero value stands for no
// decision.
type Locality struct {
	Reach        Reach
	Destinations []Destination
}

// penalty returns what is added to the load per slot of a target because of its data centre.
func (l *Locality) penalty(p *roster.Peer, origin ident.DataCentre) float64 {
	if p.DataCentre == origin {
		return 0
	}
	if i := l.index(p.DataCentre); i >= 0 {
		return l.Destinations[i].Penalty
	}
	return remotePenalty
}

func (l *Locality) index(dc ident.DataCentre) int {
	return slices.IndexFunc(l.Destinations, func(d Destination) bool { return d.DataCentre == dc })
}

// candidates bounds the agents that one pass over the ranked agents considers.
type candidates struct {
	local, remote, total int
	destinationsOnly     bool    // of the agents in other data centres, only those in a destination
	remoteLimit          float64 // requests per slot from which a remote target is left out
}

// placeByReach returns the index of the agent at which a new flow opens, and whether one accepts it, as place, by the
// locality decision.
//
// A flow stays within the first agents of the rank, where searches look for it, as long as these have
// capacity. One that finds no capacity where it belongs isn't held while a target elsewhere idles.
func placeByReach(now time.Duration, r *Requirements, agents []roster.Peer, outliers []outlier.Verdict) (int, bool) {
	unlimited := math.Inf(1)
	anyAccepts := false
	try := func(limits candidates) int {
		index, accepted := leastLoaded(now, r, agents, outliers, limits)
		anyAccepts = anyAccepts || accepted
		return index
	}
	if r.Locality.Reach == ReachRemote {
		remote := candidates{remote: localCandidates, destinationsOnly: true, remoteLimit: unlimited}
		if i := try(remote); i >= 0 {
			return i, true
		}
	}
	home := candidates{local: localCandidates, destinationsOnly: true, remoteLimit: unlimited}
	if r.Locality.Reach == ReachEither {
		home.remote = remoteCandidates
	}
	if i := try(home); i >= 0 {
		return i, true
	}
	rest := candidates{remote: localCandidates, remoteLimit: overflowLoad}
	if !hasAccepting(now, r, agents, outliers) {
		rest.remoteLimit = unlimited
	}
	return try(rest), anyAccepts
}

// hasAccepting reports whether a target in the caller's data centre accepts the flow, though it may lack
// capacity. An outlier accepts only its share of the flows.
func hasAccepting(now time.Duration, r *Requirements, agents []roster.Peer, outliers []outlier.Verdict) bool {
	for i := range agents {
		p := &agents[i]
		if p.DataCentre != r.Origin || !r.permits(now, p) {
			continue
		}
		if v := verdictOn(i, outliers); v == nil || getsFlow(p, r.Flow, v.Share) {
			return true
		}
	}
	return false
}

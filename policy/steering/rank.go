package steering

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/rendezvous"
	"lacewinglever.dev/policy/roster"
)

const (
	// localCandidates and remoteCandidates are the numbers of top-ranked targets in the caller's
	// data centre and in all others. A new flow goes to the least loaded of them, so that a node
	// without a record of the flow finds it within as many steps. Remote targets are few because
	// traffic between data centres is slower and costs more.
	localCandidates  = 3
	remoteCandidates = 1
)

// Classes of agents, in the order in which a flow is offered to them and searched for.
const (
	localTop   = iota // the highest scores in the caller's data centre, which get its new flows
	remoteBest        // the highest score of all others, which gets new flows while the local ones are much busier
	remoteTop         // the highest scores of each other data centre, for flows of callers that moved from there
	localRest
	remoteRest
)

// ranked is an agent while it is being ranked.
type ranked struct {
	score uint64
	index int    // in the unsorted agents
	group uint64 // score of its data centre, which orders those of a class
	class uint8
}

// scratch is the reusable memory of one ranking.
type scratch struct {
	order []ranked
	seen  map[ident.DataCentre]*group
	peers []roster.Peer
}

// group is a data centre during one ranking.
type group struct {
	score  uint64
	agents int // seen so far, by descending score
}

var scratchPool = sync.Pool{New: func() any { return &scratch{seen: map[ident.DataCentre]*group{}} }}

// MergeRanked orders the agents of several services for a search: first those of each service at which new
// flows open, then all others. Each element of ends is the end of the ranked agents of one service, which
// begin at the end of the service before.
func MergeRanked(agents []roster.Peer, ends []int) {
	if len(ends) < 2 {
		return
	}
	merged := make([]roster.Peer, 0, len(agents))
	rest := make([]roster.Peer, 0, len(agents))
	begin := 0
	for _, end := range ends {
		top := min(begin+localCandidates+remoteCandidates, end)
		merged = append(merged, agents[begin:top]...)
		rest = append(rest, agents[top:end]...)
		begin = end
	}
	copy(agents, append(merged, rest...))
}

// Rank sorts the agents of a service into the order in which a flow is offered to them and searched
// for. Nodes with the same agents compute the same order. Within a data centre it doesn't depend on
// the caller's, so that a flow whose caller moves is found among the first agents of its former
// data centre. Agents of one data centre are adjacent, so that a search crosses few of the slow
// links between data centres.
func Rank(flow uint64, origin ident.DataCentre, agents []roster.Peer) {
	s := scratchPool.Get().(*scratch)
	defer scratchPool.Put(s)
	s.order = s.order[:0]
	clear(s.seen)
	for i := range agents {
		s.order = append(s.order, ranked{score: rendezvous.Hash(flow, uint64(agents[i].ID)), index: i})
	}
	slices.SortFunc(s.order, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	remoteSeen := 0
	for i := range s.order {
		r := &s.order[i]
		dc := agents[r.index].DataCentre
		dcGroup := s.seen[dc]
		if dcGroup == nil {
			dcGroup = &group{score: xxhash.Sum64String(string(dc)) ^ flow}
			s.seen[dc] = dcGroup
		}
		dcGroup.agents++
		r.group = dcGroup.score
		switch {
		case dc == origin && dcGroup.agents <= localCandidates:
			r.class = localTop
		case dc == origin:
			r.class = localRest
		case remoteSeen < remoteCandidates:
			remoteSeen++
			r.class = remoteBest
		case dcGroup.agents <= localCandidates:
			r.class = remoteTop
		default:
			r.class = remoteRest
		}
	}
	slices.SortStableFunc(s.order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.group, b.group))
	})
	// Agents are large, so they are moved only once, after sorting.
	s.peers = append(s.peers[:0], agents...)
	for i, r := range s.order {
		agents[i] = s.peers[r.index]
	}
}

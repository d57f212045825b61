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
	// localCandidates and remoteCandidates are the numbers of first-ranked targets of the caller's data centre and of all others among which a new flow goes to the
	// least loaded. A node without a record of the flow then finds it within as many steps. Bytes between data centres cost more and take longer.
	localCandidates  = 3
	remoteCandidates = 1
)

// Classes of agents in the order in which a flow is offered to them and looked for.
const (
	localTop   = iota // the first by score of the caller's data centre: new flows go there
	remoteBest        // the first by score of all others: new flows go there while the near ones have much more to do
	remoteTop         // the first by score of each other data centre: flows of callers that came from there
	localRest
	remoteRest
)

// ranked is the place of one agent before ranking.
type ranked struct {
	score uint64
	index int
	group uint64 // of its data centre among those of the class
	class uint8
}

// scratch is memory for one ranking.
type scratch struct {
	order []ranked
	seen  map[ident.DataCentre]*group
	peers []roster.Peer
}

// group is what one ranking has seen of a data centre.
type group struct {
	score  uint64
	agents int // so far, in the order of scores
}

var scratchPool = sync.Pool{New: func() any { return &scratch{seen: map[ident.DataCentre]*group{}} }}

// Rank sorts the agents of a service in the order in which a flow is offered to them and looked for, the same at every node that knows the same
// agents. Within a data centre it does not depend on the caller's, so that a flow whose caller moves is found among the first of its former data centre.
// Agents of one data centre follow each other, so that a search crosses few of the slow links between data centres.
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
	slices.SortStableFunc(s.order, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.group, b.group)) })
	// The agents are moved once, after their places are known: they are large.
	s.peers = append(s.peers[:0], agents...)
	for i, r := range s.order {
		agents[i] = s.peers[r.index]
	}
}

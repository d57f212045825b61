// Package storereader selects the store readers: the nodes that read the store on behalf of the
// others, so that the read load grows with the number of data centres and not with that of nodes.
// Nodes need no agreement: an extra reader costs some calls, and a node that receives from no other
// reads for itself.
package storereader

import (
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/rendezvous"
)

// readerCount is the number of nodes per data centre that read the store. All others receive
// changes with heartbeats, also from other data centres, so that the loss of a reader delays
// nothing.
const readerCount = 1

// key makes the choice independent of other rendezvous choices among the same nodes.
const key uint64 = 0x6c61636577726561

// candidateCount is the number of nodes per data centre of which one reads. It bounds the nodes that try
// to reach the store while it is unavailable.
const candidateCount = 5

// IsReaderAmong reports whether the node self reads the store, as IsReader does, if some of the nodes
// can't reach the store.
func IsReaderAmong(self ident.NodeID, others []ident.NodeID, canReach func(ident.NodeID) bool) bool {
	return ReaderAmong(append(others, self), canReach) == self
}

// ReaderAmong returns which of the running nodes of a data centre reads the store, if some of them can't reach it. The
// next candidate then takes over; if none of them reaches it, the first one keeps trying. It returns 0 without nodes.
func ReaderAmong(nodes []ident.NodeID, canReach func(ident.NodeID) bool) ident.NodeID {
	candidates := rendezvous.Top(key, nodes, candidateCount)
	for _, id := range candidates {
		if canReach(id) {
			return id
		}
	}
	if len(candidates) == 0 {
		return 0
	}
	return candidates[0]
}

// IsReader reports whether the node self reads the store. others are the other running nodes of its
// data centre.
func IsReader(self ident.NodeID, others []ident.NodeID) bool {
	for _, id := range rendezvous.Top(key, append(others, self), readerCount) {
		if id == self {
			return true
		}
	}
	return false
}

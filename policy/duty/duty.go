// Package duty decides which nodes read the store on behalf of the others, so that the cost of reading grows with the number of data centres and
// not with that of nodes. Nodes need not agree: one reader too many costs some calls, and a node that hears nobody reads for itself.
package duty

import (
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/rendezvous"
)

// readers is the number of nodes of a data centre that read. The others learn what is new by heartbeats, those of other data centres included, so
// that the loss of a reader delays nothing.
const readers = 1

// key makes the choice independent of other rendezvous choices among the same nodes.
const key uint64 = 0x6c61636577726561

// IsReader tells whether the node self reads the store, with the other live nodes of its data centre.
func IsReader(self ident.NodeID, others []ident.NodeID) bool {
	for _, id := range rendezvous.Top(key, append(others, self), readers) {
		if id == self {
			return true
		}
	}
	return false
}

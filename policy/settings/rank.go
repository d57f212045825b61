package settings

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/rendezvous"
)

// ReadersPerDataCentre is the number of entries per data centre that read the store. The second one
// covers the interval in which the failure of the first is not yet detected.
const ReadersPerDataCentre = 2

// RankStep is the delay per rank before a controller acts, so that it acts only if those of lower
// rank did not.
const RankStep = 500 * time.Millisecond

// StoreReaders returns the entries that read the store: in each data centre, the first two live
// entries in rendezvous order.
func StoreReaders(entries []record.Node) []ident.NodeID {
	centres := map[ident.DataCentre][]ident.NodeID{}
	for _, e := range entries {
		if e.Entry && e.Alive() {
			centres[e.DataCentre] = append(centres[e.DataCentre], e.ID)
		}
	}
	var readers []ident.NodeID
	for dc, nodes := range centres {
		readers = append(readers, rendezvous.Top(xxhash.Sum64String("reader/"+string(dc)), nodes,
			ReadersPerDataCentre)...)
	}
	slices.Sort(readers)
	return readers
}

// Rank returns the rank of self among the nodes that may run the controller for a service; -1 if it
// is none of them.
func Rank(service ident.ServiceID, self ident.NodeID, nodes []ident.NodeID) int {
	return slices.Index(rendezvous.Top(uint64(service), nodes, len(nodes)), self)
}

// RankDelay returns the time that a controller of this rank waits for those of lower rank.
func RankDelay(rank int) time.Duration { return time.Duration(rank) * RankStep }

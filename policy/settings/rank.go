package settings

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/rendezvous"
)

// ReadersPerDataCentre is how many entries of a data centre read the store. The second one covers for the first while its loss is
// not yet noticed.
const ReadersPerDataCentre = 2

// RankStep is how long each further rank waits before it steps in for those before it.
const RankStep = 500 * time.Millisecond

// StoreReaders returns the entries that read the store: in each data centre, the first two live entries by rendezvous rank.
func StoreReaders(entries []record.Node) []ident.NodeID {
	centres := map[ident.DataCentre][]ident.NodeID{}
	for _, e := range entries {
		if e.Entry && e.Alive() {
			centres[e.DataCentre] = append(centres[e.DataCentre], e.ID)
		}
	}
	var readers []ident.NodeID
	for dc, nodes := range centres {
		readers = append(readers, rendezvous.Top(xxhash.Sum64String("reader/"+string(dc)), nodes, ReadersPerDataCentre)...)
	}
	slices.Sort(readers)
	return readers
}

// Rank returns the rank of self among the nodes that may perform the control duty for a service; -1 if it is not one of them.
func Rank(service ident.ServiceID, self ident.NodeID, nodes []ident.NodeID) int {
	return slices.Index(rendezvous.Top(uint64(service), nodes, len(nodes)), self)
}

// RankDelay is how long a node of this rank waits for those before it.
func RankDelay(rank int) time.Duration { return time.Duration(rank) * RankStep }

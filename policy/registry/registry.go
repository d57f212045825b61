// Package registry decides which records of nodes in the platform's store are left over from nodes that are gone for good. The store expires nothing by
// itself, and a node that loses its instance cannot remove its own record.
//
// Live nodes renew their record from time to time. Whether a record is renewed is judged by the clock of the observer and the revision of the object, so
// that clocks that differ between nodes do not matter.
package registry

import "time"

const (
	// RenewInterval is the interval in which a node writes its record again. 48,000 nodes then write 27 times a second, of several hundred that the
	// store takes.
	RenewInterval = 30 * time.Minute
	// staleAfter is how long a record may go without renewal: two may fail while the store is away.
	staleAfter = 3 * RenewInterval
)

// Record is one object of the store that names a node.
type Record struct {
	Name     string
	Revision uint64 // of the object
}

type observation struct {
	revision uint64
	since    time.Duration
}

// Observer follows the records of the store. It is not safe for concurrent use.
type Observer struct {
	records map[string]observation
}

// Observe takes a complete list of the records at the time now. It returns those that were not renewed for so long that their nodes are gone. heard tells
// whether a node was heard lately: one that cannot reach the store is not gone.
func (o *Observer) Observe(now time.Duration, list []Record, heard func(name string) bool) (stale []Record) {
	next := make(map[string]observation, len(list))
	for _, r := range list {
		before, ok := o.records[r.Name]
		if !ok || before.revision != r.Revision {
			before = observation{r.Revision, now}
		}
		next[r.Name] = before
		if now-before.since > staleAfter && !heard(r.Name) {
			stale = append(stale, r)
		}
	}
	o.records = next
	return stale
}

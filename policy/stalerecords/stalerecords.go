// Package stalerecords finds node records in the platform's store whose nodes are gone for good.
// The store expires nothing, and a node that loses its instance can't remove its own record.
//
// Running nodes renew their record periodically. The observer judges renewals by its own clock and
// by the version of the stored object, so clock differences between nodes don't matter.
package stalerecords

import "time"

const (
	// RenewInterval is the interval at which a node rewrites its record. 48,000 nodes then cause 27
	// writes per second; the store handles several hundred.
	RenewInterval = 30 * time.Minute
	// staleAfter is how long a record may go without renewal. Two renewals may fail while the store
	// is unavailable.
	staleAfter = 3 * RenewInterval
	// checksPerSecond is the rate at which all nodes together check their records after a restore of
	// the store: half of the reads that the smallest store takes. The other half is for readers and
	// for nodes that start.
	checksPerSecond = 1000
)

// CheckSpread returns the time over which the nodes of a fleet spread the checks of their records after
// a restore of the store, of which all learn at the same moment.
func CheckSpread(nodes int) time.Duration {
	return time.Duration(max(1, nodes)) * time.Second / checksPerSecond
}

// Record is the stored object of one node.
type Record struct {
	Name     string
	Era      uint64 // of the store
	Revision uint64 // of the object in that era
}

type observation struct {
	record    Record
	firstSeen time.Duration
}

// Observer tracks the renewal of the records in the store. It is not safe for concurrent use.
type Observer struct {
	records map[string]observation
}

// Observe takes a complete list of the records at the time now. It returns those that have not been
// renewed for so long that their nodes must be gone. isLive reports whether a node has recently
// sent a heartbeat, in which case it only can't reach the store.
func (o *Observer) Observe(now time.Duration, list []Record, isLive func(name string) bool) (stale []Record) {
	next := make(map[string]observation, len(list))
	for _, r := range list {
		before, ok := o.records[r.Name]
		if !ok || before.record != r {
			before = observation{r, now}
		}
		next[r.Name] = before
		if now-before.firstSeen > staleAfter && !isLive(r.Name) {
			stale = append(stale, r)
		}
	}
	o.records = next
	return stale
}

package evacuation

import (
	"sync"
	"time"
)

const (
	// maxStall is the longest stall of a process after which it goes by its set at once. The oldest unread packet is
	// then handled within the usual bound of an evacuation, of 5 s, that it was sent before.
	maxStall = 2 * time.Second
	// settlingTime is the time after a longer stall in which the process hears from other nodes again.
	settlingTime = 1200 * time.Millisecond
)

// Freshness tells whether a node's set may be out of date: it has just started, or was stalled. Its methods are safe
// for concurrent use.
type Freshness struct {
	started time.Duration
	within  time.Duration

	mu          sync.Mutex
	lastRunning time.Duration // 0 before the first record
	settledAt   time.Duration
}

// NewFreshness returns that of a node that has started at a time. within is the time from the operator's request
// until it has to be in force.
func NewFreshness(started, within time.Duration) *Freshness {
	return &Freshness{started: started, within: within}
}

// RecordRunning records that the process is running. It is due several times a second.
func (f *Freshness) RecordRunning(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isStalled(now) {
		f.settledAt = now + settlingTime
	}
	f.lastRunning = now
}

// isStalled reports whether the process has not run until now. Packets are unread that were sent before an
// evacuation, and heartbeats that tell of it.
func (f *Freshness) isStalled(now time.Duration) bool {
	return f.lastRunning != 0 && now-f.lastRunning > maxStall
}

// Awaits reports whether the node accepts no new flows yet, because a data centre may be evacuated that it doesn't know
// of. setKnown and routesKnown are whether it knows any set and any routes. A node without a set gives up once routes
// are known and a request from after its start would have to be in force: other nodes then have no set to tell,
// and the store can't be read.
func (f *Freshness) Awaits(now time.Duration, setKnown, routesKnown bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isStalled(now) || now < f.settledAt {
		return true
	}
	return !setKnown && (!routesKnown || now-f.started < f.within)
}

// Package coldlimit limits the new flows that an agent offers to a target that is cold: after its start, and after its data
// centre was evacuated.
package coldlimit

import (
	"sync"
	"time"
)

const (
	// window is the time over which requests count against the limit: it is per second, and holds in any second.
	window = time.Second
	// openingTimeout is how long an admitted flow counts as a request to come. Callers send the first request after a
	// round trip of some 20 ms; until the timeout, such a request counts twice.
	openingTimeout = 60 * time.Millisecond
	// newFlowShare is the part of the limit that new flows get in a second. The flows of the first second go on to send
	// requests, and would exceed the limit in the next one.
	newFlowShare = 0.5
	// defaultFor is how long a target is cold if the operator's configuration has a limit and no time.
	defaultFor = 10 * time.Second
)

// Limits are those of the target's service. Without a rate, nothing is limited.
type Limits struct {
	PerSecond float64       // requests that a cold target bears in a second; 0 if there is no limit
	For       time.Duration // time for which a target is cold; 0 if unknown
}

// Limiter counts the requests to one target, and admits new flows while it is cold. Its methods are safe for concurrent
// use.
type Limiter struct {
	mu        sync.Mutex
	isCold    bool
	coldSince time.Duration   // time of the target's start or of the end of the evacuation, if isCold
	requests  []time.Duration // of the last window, in the order in which they were recorded
	admitted  []time.Duration // new flows of the last window
}

// RecordCold records that the target is cold since a time, unless it is since a later one.
func (l *Limiter) RecordCold(since time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCold || since > l.coldSince {
		l.isCold, l.coldSince = true, since
	}
}

// IsCold reports whether the target is cold and has a limit. warmingUp is what the target says itself.
func (l *Limiter) IsCold(now time.Duration, limits Limits, warmingUp bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits(now, limits, warmingUp)
}

func (l *Limiter) limits(now time.Duration, limits Limits, warmingUp bool) bool {
	coldFor := limits.For
	if coldFor == 0 {
		coldFor = defaultFor
	}
	return limits.PerSecond > 0 && (warmingUp || l.isCold && now-l.coldSince < coldFor)
}

// RecordRequest records a request that was passed to the target, on any flow.
func (l *Limiter) RecordRequest(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(recent(l.requests, now, window), now)
}

// Admit reports whether a new flow may be offered to the target, and counts it if so. Requests on open flows come first: a
// new flow gets only what they have left of the last second.
func (l *Limiter) Admit(now time.Duration, limits Limits, warmingUp bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limits(now, limits, warmingUp) {
		return true
	}
	l.requests = recent(l.requests, now, window)
	l.admitted = recent(l.admitted, now, window)
	expected := len(l.requests) + len(recent(l.admitted, now, openingTimeout))
	if float64(expected+1) > max(limits.PerSecond, 1) || float64(len(l.admitted)+1) > max(newFlowShare*limits.PerSecond, 1) {
		return false
	}
	l.admitted = append(l.admitted, now)
	return true
}

// recent returns the times that are at most d ago.
func recent(times []time.Duration, now, d time.Duration) []time.Duration {
	for len(times) > 0 && now-times[0] > d {
		times = times[1:]
	}
	return times
}

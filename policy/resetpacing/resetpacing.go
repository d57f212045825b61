// Package resetpacing paces the resets of flows that no target holds. After a reset, the caller
// returns at once with a new flow and its pending request. Without pacing, the loss of many targets
// would bring all callers back at the same moment, on targets that have just started.
//
// Callers with a fresh request take precedence over those that have waited since the loss, because
// the latter are late in any case.
//
// When all targets of a pool have lost their flows, one request waits on each flow. A target whose
// queue holds some 4 requests per slot, and whose requests take twice the usual time, sheds
// requests that arrive faster than it can serve them.
package resetpacing

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/limit"
)

const (
	// resetsPerSlot is the greatest number of resets per second and slot. It bounds the callers
	// that return before the pool's next load reports, some 50 ms later: 3 per slot, which a target
	// with capacity can still queue.
	resetsPerSlot = 60
	// burstPerSlot is the greatest number of resets per slot at the same moment: one request in
	// service.
	burstPerSlot = 1
	// maxLoad is the mean number of requests per slot of the pool above which no flow is reset. All
	// slots are then busy, and callers with a fresh request would wait behind those that return.
	maxLoad = 1.8
)

// Pacer paces the resets of one agent. Each agent of a pool resets its share of the flows, because
// searches end at all of them equally often. Its methods are safe for concurrent use.
type Pacer struct {
	mu     sync.Mutex
	slots  int
	bucket *limit.TokenBucket
}

// Admit reports whether a flow may be reset now. slots is the number of slots of the agent's
// target, load the mean number of requests per slot of its pool.
func (p *Pacer) Admit(now time.Duration, slots int, load float64) bool {
	if load > maxLoad {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Unix(0, 0).Add(now)
	slots = max(slots, 1)
	if p.bucket == nil || slots != p.slots {
		p.slots = slots
		p.bucket = limit.NewTokenBucket(at, float64(resetsPerSlot*slots), float64(burstPerSlot*slots))
	}
	return p.bucket.Take(at, 1)
}

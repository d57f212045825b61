// Package readmission paces the resets of flows that no target holds. Each reset brings the caller back at once with a new flow and the request that
// it waits for. After the loss of many targets, all callers would come back within the same moment on targets that have just started.
//
// Callers that come with a request of this moment go before those that wait since the loss: the latter are late in any case.
//
// The load that it answers: a pool whose targets have all lost their flows, with one request waiting on each. A target with a queue of some
// 4 requests a slot, at twice the usual time of a request, sheds what comes faster than it can take.
package readmission

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/limit"
)

const (
	// perSlot is how many callers a second one slot takes back at most. It bounds those that come before the pool's loads are told again,
	// some 50 ms later: 3 a slot, which a target with room still queues.
	perSlot = 60
	// burstPerSlot is how many a slot takes at once: one in service.
	burstPerSlot = 1
	// fullLoad is the mean number of requests a slot of the pool from which nobody is taken back: all slots are busy, and those that come
	// with a new request would wait behind.
	fullLoad = 1.8
)

// Pacer paces the resets of one agent. Each agent of a pool resets its share of the flows, because searches end at all of them alike. Its methods
// may be called from any goroutine.
type Pacer struct {
	mu     sync.Mutex
	slots  int
	bucket *limit.Bucket
}

// Admit tells whether a flow may be reset now, with the slots of the agent's target and the mean requests a slot of its pool.
func (p *Pacer) Admit(now time.Duration, slots int, load float64) bool {
	if load > fullLoad {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Unix(0, 0).Add(now)
	slots = max(slots, 1)
	if p.bucket == nil || slots != p.slots {
		p.slots = slots
		p.bucket = limit.NewBucket(at, float64(perSlot*slots), float64(burstPerSlot*slots))
	}
	return p.bucket.Take(at, 1)
}

// Package limit bounds work: a target's slots and the queue in front of them, retries, and rates.
// Callers pass the time in.
package limit

import "time"

// Decision is the outcome of offering work to a Queue.
type Decision uint8

// Decisions of Queue.Offer.
const (
	Start    Decision = iota // a slot was free and is now taken
	Queued                   // the work waits for a slot
	ShedFull                 // the queue is full
	ShedLate                 // the expected wait ends after the deadline
)

// String returns the decision as it appears in logs.
func (d Decision) String() string {
	switch d {
	case Start:
		return "start"
	case Queued:
		return "waits"
	case ShedFull:
		return "queue full"
	case ShedLate:
		return "deadline before expected start"
	}
	return "unspecified"
}

// newestWeight is the weight of the newest service time in the moving average.
const newestWeight = 0.2

type waiter struct {
	id       uint64
	deadline time.Time
}

// Queue is the slots of a target and a bounded FIFO queue in front of them. It is not safe for
// concurrent use.
type Queue struct {
	slots           int
	maxWaiting      int
	busySlots       int
	waiting         []waiter
	meanServiceTime time.Duration // moving average, 0 until the first result
}

// NewQueue returns a queue for a target with the given slots, in which at most maxWaiting may wait.
func NewQueue(slots, maxWaiting int) *Queue {
	return &Queue{slots: max(slots, 1), maxWaiting: maxWaiting}
}

// Busy returns the number of slots that are taken.
func (q *Queue) Busy() int { return q.busySlots }

// Waiting returns how much work waits for a slot.
func (q *Queue) Waiting() int { return len(q.waiting) }

// MeanServiceTime returns the moving average of the service time, 0 until the first result.
func (q *Queue) MeanServiceTime() time.Duration { return q.meanServiceTime }

// SetLimit changes how much work may wait. Work that already waits stays in the queue.
func (q *Queue) SetLimit(maxWaiting int) { q.maxWaiting = maxWaiting }

// ExpectedWait returns how long work that is offered now is expected to wait for a slot.
func (q *Queue) ExpectedWait() time.Duration {
	if q.busySlots < q.slots {
		return 0
	}
	return q.meanServiceTime * time.Duration(len(q.waiting)+1) / time.Duration(q.slots)
}

// Offer offers work that must start before the deadline. If the work is queued, Done returns its id
// once a slot is free for it.
func (q *Queue) Offer(now time.Time, id uint64, deadline time.Time) Decision {
	if !now.Before(deadline) {
		return ShedLate
	}
	if q.busySlots < q.slots && len(q.waiting) == 0 {
		q.busySlots++
		return Start
	}
	if len(q.waiting) >= q.maxWaiting {
		return ShedFull
	}
	if now.Add(q.ExpectedWait()).After(deadline) {
		return ShedLate
	}
	q.waiting = append(q.waiting, waiter{id: id, deadline: deadline})
	return Queued
}

// Done frees a slot after work that took serviceTime, which is 0 if the work did not run. It
// returns the ids of queued work that starts now, and of work whose deadline passed in the queue.
func (q *Queue) Done(now time.Time, serviceTime time.Duration) (start, late []uint64) {
	q.busySlots--
	if serviceTime > 0 {
		q.recordServiceTime(serviceTime)
	}
	for q.busySlots < q.slots && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		if !now.Before(w.deadline) {
			late = append(late, w.id)
			continue
		}
		q.busySlots++
		start = append(start, w.id)
	}
	return start, late
}

// Remove takes work out of the queue. It returns false if the work isn't queued.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.waiting {
		if q.waiting[i].id == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (q *Queue) recordServiceTime(serviceTime time.Duration) {
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime
		return
	}
	q.meanServiceTime += time.Duration(newestWeight * float64(serviceTime-q.meanServiceTime))
}

// Limits of the retry budget.
const (
	// RetryRatio is the greatest number of retries relative to the offered load.
	RetryRatio = 0.1
	// MinRetries is the number of retries that a window allows at any load, so that a service with
	// few requests still recovers from a target that has just stopped.
	MinRetries    = 1
	budgetBuckets = 10
	budgetBucket  = time.Second
)

// RetryBudget allows retries in proportion to the load offered in a sliding window of 10 s. It is
// not safe for concurrent use.
type RetryBudget struct {
	offered [budgetBuckets]int
	retries [budgetBuckets]int
	current int64 // number of the newest bucket since the epoch
}

// Offer counts a request.
func (b *RetryBudget) Offer(now time.Time) {
	b.advance(now)
	b.offered[b.current%budgetBuckets]++
}

// Retry counts a retry if the budget allows it, and returns false otherwise.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.advance(now)
	offered, retries := 0, 0
	for i := range b.offered {
		offered += b.offered[i]
		retries += b.retries[i]
	}
	if retries+1 > max(int(RetryRatio*float64(offered)), MinRetries) {
		return false
	}
	b.retries[b.current%budgetBuckets]++
	return true
}

// advance clears the buckets that have left the window.
func (b *RetryBudget) advance(now time.Time) {
	bucket := now.UnixNano() / int64(budgetBucket)
	if bucket-b.current >= budgetBuckets {
		b.offered, b.retries = [budgetBuckets]int{}, [budgetBuckets]int{}
		b.current = bucket
	}
	for b.current < bucket {
		b.current++
		b.offered[b.current%budgetBuckets], b.retries[b.current%budgetBuckets] = 0, 0
	}
}

// TokenBucket is a token bucket. It is not safe for concurrent use.
type TokenBucket struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	last   time.Time
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(now time.Time, rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst, last: now}
}

// Has reports whether there are n tokens.
func (b *TokenBucket) Has(now time.Time, n float64) bool {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.last = now
	}
	return b.tokens >= n
}

// Take takes n tokens. If there are fewer, it takes none and returns false.
func (b *TokenBucket) Take(now time.Time, n float64) bool {
	if !b.Has(now, n) {
		return false
	}
	b.tokens -= n
	return true
}

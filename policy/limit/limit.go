// Package limit bounds work: a target's slots and the queue before them, retries, and rates. Time is passed in.
package limit

import "time"

// Decision tells what becomes of work that is offered to a Queue.
type Decision uint8

// Verdicts of Queue.Offer.
const (
	Start    Decision = iota // a slot was free and is now taken
	Queued                   // it waits for a slot
	ShedFull                 // the queue is full
	ShedLate                 // the expected wait ends after the deadline
)

// String returns the verdict as in logs.
func (v Decision) String() string {
	switch v {
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

// serviceWeight is the weight of the newest service time in the mean.
const serviceWeight = 0.2

type waiter struct {
	id       uint64
	deadline time.Time
}

// Queue is a target's slots and a bounded queue before them, first in, first out. It is not safe for concurrent use.
type Queue struct {
	slots   int
	limit   int
	busy    int
	waiting []waiter
	service time.Duration // mean service time, 0 before the first
}

// NewQueue returns a queue of at most limit waiting for slots.
func NewQueue(slots, limit int) *Queue { return &Queue{slots: max(slots, 1), limit: limit} }

// Busy returns how many slots are taken.
func (q *Queue) Busy() int { return q.busy }

// Waiting returns how much work waits for a slot.
func (q *Queue) Waiting() int { return len(q.waiting) }

// MeanServiceTime returns the mean service time, 0 before the first.
func (q *Queue) MeanServiceTime() time.Duration { return q.service }

// SetLimit changes how many may wait. Those that wait already stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// ExpectedWait returns how long work that is offered now is expected to wait for a slot.
func (q *Queue) ExpectedWait() time.Duration {
	if q.busy < q.slots {
		return 0
	}
	return q.service * time.Duration(len(q.waiting)+1) / time.Duration(q.slots)
}

// Offer offers work that must start before the deadline. The id is returned by Done when a slot is free for it.
func (q *Queue) Offer(now time.Time, id uint64, deadline time.Time) Decision {
	if !now.Before(deadline) {
		return ShedLate
	}
	if q.busy < q.slots && len(q.waiting) == 0 {
		q.busy++
		return Start
	}
	if len(q.waiting) >= q.limit {
		return ShedFull
	}
	if now.Add(q.ExpectedWait()).After(deadline) {
		return ShedLate
	}
	q.waiting = append(q.waiting, waiter{id: id, deadline: deadline})
	return Queued
}

// Done frees a slot after work that took service; 0 if it did not run. It returns the ids of those that start now and of those whose
// deadline passed while they waited.
func (q *Queue) Done(now time.Time, service time.Duration) (start, late []uint64) {
	q.busy--
	if service > 0 {
		q.observe(service)
	}
	for q.busy < q.slots && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		if !now.Before(w.deadline) {
			late = append(late, w.id)
			continue
		}
		q.busy++
		start = append(start, w.id)
	}
	return start, late
}

// Remove takes work out of the queue. It returns false if it doesn't wait.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.waiting {
		if q.waiting[i].id == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (q *Queue) observe(service time.Duration) {
	if q.service == 0 {
		q.service = service
		return
	}
	q.service += time.Duration(serviceWeight * float64(service-q.service))
}

// Limits of the retry budget.
const (
	// RetryRatio is the largest part of the offered load that may be retries.
	RetryRatio = 0.1
	// MinRetries is how many retries a window allows whatever the load, so that a service with few requests a window still
	// recovers from a target that has just stopped.
	MinRetries    = 1
	budgetBuckets = 10
	budgetBucket  = time.Second
)

// RetryBudget allows retries in proportion to the load offered in a sliding window of 10 s. It is not safe for concurrent use.
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

// Retry counts and allows a retry. It returns false if the budget is spent.
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

// advance empties the buckets that left the window.
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

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time, rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, last: now}
}

// Take takes n tokens. It returns false, and takes none, if there are fewer.
func (b *Bucket) Take(now time.Time, n float64) bool {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.last = now
	}
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

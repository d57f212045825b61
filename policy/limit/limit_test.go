package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against more work in progress than slots, a queue beyond its limit, work that starts after
// its deadline, and a slot that is never freed.
func TestQueueBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, limit = 2, 4
		q := NewQueue(slots, limit)
		now := start
		running := 0
		deadlines := map[uint64]time.Time{}
		for id := range uint64(rapid.IntRange(0, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if running > 0 && rapid.Bool().Draw(t, "done") {
				started, late := q.Done(now, 10*time.Millisecond)
				running += len(started) - 1
				for _, id := range started {
					assert.Assert(t, now.Before(deadlines[id]))
				}
				for _, id := range late {
					assert.Assert(t, !now.Before(deadlines[id]))
				}
			}
			deadlines[id] = now.Add(time.Duration(rapid.IntRange(-1, 50).Draw(t, "deadline")) * time.Millisecond)
			if q.Offer(now, id, deadlines[id]) == Start {
				running++
			}
			assert.Equal(t, q.Busy(), running)
			assert.Assert(t, running <= slots && q.Waiting() <= limit)
			assert.Assert(t, q.Waiting() == 0 || running == slots, "a slot is free while work waits")
		}
	})
}

// Guards against queueing work whose deadline can't be met.
func TestShedsEarly(t *testing.T) {
	q := NewQueue(1, 10)
	assert.Equal(t, q.Offer(start, 1, start.Add(time.Second)), Start)
	_, _ = q.Done(start, 100*time.Millisecond)
	assert.Equal(t, q.Offer(start, 2, start.Add(time.Second)), Start)
	assert.Equal(t, q.Offer(start, 3, start.Add(150*time.Millisecond)), Queued)
	assert.Equal(t, q.Offer(start, 4, start.Add(150*time.Millisecond)), ShedLate)
	assert.Assert(t, q.Remove(3) && !q.Remove(3))
	assert.Equal(t, q.Offer(start, 5, start.Add(150*time.Millisecond)), Queued)
}

// Guards against retries beyond a tenth of the offered load in any window.
func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	retries := 0
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		b.Offer(now)
		if i >= 1000 && b.Retry(now) {
			retries++
		}
	}
	assert.Assert(t, retries > 180 && retries <= 300, "%d retries of 3000", retries)
	later := start.Add(time.Hour)
	assert.Assert(t, b.Retry(later) && !b.Retry(later), "exactly one retry is allowed without load")
}

// Guards against a rate above that of the bucket.
func TestBucket(t *testing.T) {
	b := NewTokenBucket(start, 10, 2)
	taken := 0
	for i := range 1000 {
		if b.Take(start.Add(time.Duration(i)*10*time.Millisecond), 1) {
			taken++
		}
	}
	assert.Assert(t, taken >= 100 && taken <= 102, "%d tokens in 10 s", taken)
}

// Guards against a target that has stopped answering and looks fast, and against service times that
// count forever.
func TestRecentMean(t *testing.T) {
	var r RecentMean
	r.Observe(start, 10*time.Millisecond)
	assert.Equal(t, r.Mean(start, nil), 10*time.Millisecond)
	assert.Assert(t, r.Mean(start.Add(time.Second), []time.Time{start}) > 500*time.Millisecond)
	assert.Equal(t, r.Mean(start.Add(recentBuckets*time.Second), nil), time.Duration(0))
}

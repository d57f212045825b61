package spread

import (
	"time"

	"lacewinglever.dev/policy/record"
)

// Limits of the push queue.
const (
	PushRate  = 4 << 10  // bytes per second, as a mean
	PushBurst = 32 << 10 // bytes that may be sent at once after a quiet time
	// settingsPushes is how often a record of settings or a scope is pushed. With a fan-out of 3, one push reaches about 94% of the
	// nodes and two reach more than 99%, which leaves few to anti-entropy.
	settingsPushes = 2
)

// class is the priority of a pending record, lowest first.
type class int

const (
	classSettings class = iota
	classScope
	classNode
	classes
)

func classOf(r *record.Record) class {
	switch {
	case r.Service != nil:
		return classSettings
	case r.Scope != nil:
		return classScope
	}
	return classNode
}

type pending struct {
	record record.Record
	pushes int
}

// Queue holds the records that wait to be pushed and paces them with a token bucket. It is not safe for concurrent use.
type Queue struct {
	order   [classes][]string
	waiting map[string]*pending
	tokens  float64 // bytes
	last    time.Time
}

// NewQueue returns an empty queue with a full token bucket.
func NewQueue() *Queue { return &Queue{waiting: map[string]*pending{}, tokens: PushBurst} }

// Add queues a record. An older version of the same key that still waits is replaced.
func (q *Queue) Add(r record.Record) {
	c := classOf(&r)
	pushes := 1
	if c != classNode {
		pushes = settingsPushes
	}
	if p := q.waiting[r.Key]; p != nil {
		if r.Version.Compare(p.record.Version) > 0 {
			*p = pending{r, pushes}
		}
		return
	}
	q.waiting[r.Key] = &pending{r, pushes}
	q.order[c] = append(q.order[c], r.Key)
}

// Len returns the number of records that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Spend takes bytes that were sent. The balance may become negative, which delays node records. The debt is bounded, so that one large
// revision doesn't stop membership for minutes.
func (q *Queue) Spend(bytes int) { q.tokens = max(q.tokens-float64(bytes), -PushBurst) }

// Take returns the next records to push: at most limit bytes by size. While the token bucket is empty, node records wait; settings and
// scopes are taken nevertheless, because they have to be in force everywhere within seconds, and are paced by limit and the caller's
// period. A record that is larger than limit is returned alone. The caller reports with Spend what was sent.
func (q *Queue) Take(now time.Time, limit int, size func(*record.Record) int) []record.Record {
	q.refill(now)
	due := classes
	if q.tokens <= 0 {
		due = classNode
	}
	var batch []record.Record
	var again []record.Record
	total := 0
	for c := range due {
		for len(q.order[c]) > 0 {
			key := q.order[c][0]
			p := q.waiting[key]
			n := size(&p.record)
			if len(batch) > 0 && total+n > limit {
				q.requeue(again)
				return batch
			}
			total += n
			batch = append(batch, p.record)
			q.order[c] = q.order[c][1:]
			p.pushes--
			if p.pushes > 0 {
				again = append(again, p.record)
			} else {
				delete(q.waiting, key)
			}
		}
	}
	q.requeue(again)
	return batch
}

// requeue puts records that are pushed once more behind the others of their class.
func (q *Queue) requeue(records []record.Record) {
	for i := range records {
		c := classOf(&records[i])
		q.order[c] = append(q.order[c], records[i].Key)
	}
}

func (q *Queue) refill(now time.Time) {
	if !q.last.IsZero() && now.After(q.last) {
		q.tokens = min(PushBurst, q.tokens+now.Sub(q.last).Seconds()*PushRate)
	}
	if now.After(q.last) {
		q.last = now
	}
}

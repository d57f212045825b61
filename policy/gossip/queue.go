package gossip

import (
	"time"

	"lacewinglever.dev/policy/record"
)

// Limits of the push queue.
const (
	PushRate  = 4 << 10  // mean bytes per second
	PushBurst = 32 << 10 // bytes that may be sent at once after a pause
	// pushesPerSetting is how often a record of settings or of a scope is pushed. With a fan-out of
	// 3, one push reaches about 94% of the nodes and two reach more than 99%, which leaves few to
	// anti-entropy.
	pushesPerSetting = 2
)

// class is the priority of a pending record, the lowest value first.
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

// Queue holds the records that wait to be pushed, and paces them with a token bucket. It is not
// safe for concurrent use.
type Queue struct {
	order   [classes][]string
	waiting map[string]*pending
	tokens  float64 // bytes
	last    time.Time
}

// NewQueue returns an empty queue with a full token bucket.
func NewQueue() *Queue { return &Queue{waiting: map[string]*pending{}, tokens: PushBurst} }

// Add queues a record. It replaces an older version of the same key that is still waiting.
func (q *Queue) Add(r record.Record) {
	c := classOf(&r)
	pushes := 1
	if c != classNode {
		pushes = pushesPerSetting
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

// Len returns the number of records in the queue.
func (q *Queue) Len() int { return len(q.waiting) }

// Spend takes the tokens for bytes that were sent. The balance may become negative, which delays
// node records. The debt is bounded, so that one large revision doesn't stop membership for
// minutes.
func (q *Queue) Spend(bytes int) { q.tokens = max(q.tokens-float64(bytes), -PushBurst) }

// Take returns the next records to push, at most limit bytes by size, or a single record if that is
// larger. The caller reports the bytes sent with Spend. While the token bucket is empty, node
// records wait. Settings and scopes don't, because they must be in force everywhere within seconds;
// they are paced by limit and by the caller's period.
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

// requeue appends records that are pushed once more behind the others of their class.
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

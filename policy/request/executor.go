package request

import (
	"container/heap"
	"time"
)

// Verdict tells what an executor does with a copy of an attempt.
type Verdict uint8

// Verdicts of Executor.Admit.
const (
	Run             Verdict = iota // the first copy: run it, then call Finish
	InFlight                       // an earlier copy is waiting or running: its result is this copy's
	Recorded                       // an earlier copy has finished: the result is returned
	Expired                        // arrived after not_after: this copy will not run, an earlier one may have
	Cancelled                      // cancelled before it began
	TooManyAttempts                // too many attempts are remembered; this one will never run
)

// CancelResult tells what is known of a cancelled attempt.
type CancelResult uint8

// Results of Executor.Cancel.
const (
	NeverRuns CancelResult = iota // it did not run and will not
	Running                       // it has begun
	Done                          // it has finished; the result is returned
	NoRecord                      // nothing is known: not_after has passed and the record may be gone
)

type attemptState uint8

const (
	waiting attemptState = iota
	running
	done
	tombstone
)

type attempt[R any] struct {
	id        AttemptID
	state     attemptState
	notAfter  time.Time
	keepUntil time.Time // not_after, or later while the attempt is open
	result    R
}

// AttemptTracker remembers the attempts that reached one executor, until their not_after: what has run is not run again, and what was
// cancelled or refused does not run later. It is not safe for concurrent use.
type AttemptTracker[R any] struct {
	limit    int
	attempts map[AttemptID]*attempt[R]
	expiry   expiryHeap[R]
	// refusedUntil is the latest not_after of the attempts that were refused for want of room. Attempts that are not remembered
	// and end no later are refused too, which keeps a refusal firm without memory for it.
	refusedUntil time.Time
	// latest is the latest time that was passed in. A clock that is set back must not make room for a second run of an attempt that
	// was forgotten.
	latest time.Time
}

// NewAttemptTracker returns an executor that remembers at most limit attempts.
func NewAttemptTracker[R any](limit int) *AttemptTracker[R] {
	return &AttemptTracker[R]{limit: limit, attempts: map[AttemptID]*attempt[R]{}}
}

// Admit decides on a copy of an attempt. The result is set for Recorded.
func (x *AttemptTracker[R]) Admit(now time.Time, id AttemptID, notAfter time.Time) (Verdict, R) {
	var none R
	now = x.clock(now)
	x.expire(now)
	if a, ok := x.attempts[id]; ok {
		return a.verdict(), a.result
	}
	if !now.Before(notAfter) {
		return Expired, none
	}
	if x.refuses(notAfter) {
		return TooManyAttempts, none
	}
	x.remember(id, notAfter, waiting)
	return Run, none
}

func (a *attempt[R]) verdict() Verdict {
	switch a.state {
	case done:
		return Recorded
	case tombstone:
		return Cancelled
	}
	return InFlight
}

// refuses tells whether a new attempt is refused for want of room, and notes that it was.
func (x *AttemptTracker[R]) refuses(notAfter time.Time) bool {
	if len(x.attempts) < x.limit && notAfter.After(x.refusedUntil) {
		return false
	}
	if notAfter.After(x.refusedUntil) {
		x.refusedUntil = notAfter
	}
	return true
}

func (x *AttemptTracker[R]) remember(id AttemptID, notAfter time.Time, s attemptState) {
	a := &attempt[R]{id: id, state: s, notAfter: notAfter, keepUntil: notAfter}
	x.attempts[id] = a
	heap.Push(&x.expiry, a)
}

// Begin is called right before an admitted attempt goes to the target. It returns false if the attempt was cancelled or its not_after has
// passed; it will then never run.
func (x *AttemptTracker[R]) Begin(now time.Time, id AttemptID) bool {
	a, ok := x.attempts[id]
	if !ok || a.state != waiting {
		return false
	}
	if !x.clock(now).Before(a.notAfter) {
		a.state = tombstone
		return false
	}
	a.state = running
	return true
}

// Finish records the result of an admitted attempt, which further copies get.
func (x *AttemptTracker[R]) Finish(id AttemptID, result R) {
	a, ok := x.attempts[id]
	if !ok || (a.state != waiting && a.state != running) {
		return
	}
	a.state, a.result = done, result
}

// Cancel makes sure that an attempt that has not begun never will. The result is set for Done.
func (x *AttemptTracker[R]) Cancel(now time.Time, id AttemptID, notAfter time.Time) (CancelResult, R) {
	var none R
	now = x.clock(now)
	x.expire(now)
	a, ok := x.attempts[id]
	if !ok {
		return x.cancelUnseen(now, id, notAfter), none
	}
	switch a.state {
	case running:
		return Running, none
	case done:
		return Done, a.result
	}
	a.state = tombstone
	return NeverRuns, none
}

func (x *AttemptTracker[R]) cancelUnseen(now time.Time, id AttemptID, notAfter time.Time) CancelResult {
	if !now.Before(notAfter) {
		return NoRecord
	}
	if !x.refuses(notAfter) {
		x.remember(id, notAfter, tombstone)
	}
	return NeverRuns
}

func (x *AttemptTracker[R]) clock(now time.Time) time.Time {
	if now.After(x.latest) {
		x.latest = now
	}
	return x.latest
}

// Len returns how many attempts are remembered.
func (x *AttemptTracker[R]) Len() int { return len(x.attempts) }

// expire forgets attempts whose not_after has passed. Copies of them are refused by their not_after. Attempts that are still waiting or
// running stay.
func (x *AttemptTracker[R]) expire(now time.Time) {
	for len(x.expiry) > 0 && !now.Before(x.expiry[0].keepUntil) {
		a := heap.Pop(&x.expiry).(*attempt[R])
		if a.state == waiting || a.state == running {
			a.keepUntil = now.Add(openRecheck)
			heap.Push(&x.expiry, a)
			continue
		}
		delete(x.attempts, a.id)
	}
}

// openRecheck is how long an attempt that is still open after its not_after is kept before it is looked at again.
const openRecheck = time.Second

type expiryHeap[R any] []*attempt[R]

func (h expiryHeap[R]) Len() int           { return len(h) }
func (h expiryHeap[R]) Less(i, j int) bool { return h[i].keepUntil.Before(h[j].keepUntil) }
func (h expiryHeap[R]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *expiryHeap[R]) Push(a any) { *h = append(*h, a.(*attempt[R])) }

// Pop is part of heap.Interface.
func (h *expiryHeap[R]) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return a
}

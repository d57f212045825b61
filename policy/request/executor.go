package request

import (
	"container/heap"
	"time"
)

// Verdict is the decision of an executor on a copy of an attempt.
type Verdict uint8

// Verdicts of AttemptTracker.Admit.
const (
	Run             Verdict = iota // the first copy: run it, then call Finish
	InFlight                       // an earlier copy is waiting or running: its result is also the result of this copy
	Recorded                       // an earlier copy has finished: its result is returned
	Expired                        // received after not_after: this copy will not run, an earlier one may have run
	Cancelled                      // cancelled before it began
	TooManyAttempts                // the limit of recorded attempts is reached: this one will never run
)

// CancelResult is the state of an attempt after its cancellation.
type CancelResult uint8

// Results of AttemptTracker.Cancel.
const (
	NeverRuns CancelResult = iota // it did not run and will not
	Running                       // it has begun
	Done                          // it has finished; the result is returned
	NoRecord                      // not_after has passed and the record may have been removed: the attempt may have run
)

type attemptState uint8

const (
	waiting attemptState = iota
	running
	done
	tombstone // cancelled or expired: never runs
)

type attempt[R any] struct {
	id        AttemptID
	state     attemptState
	notAfter  time.Time
	keepUntil time.Time // not_after, or later while the attempt is open
	result    R
}

// AttemptTracker records the attempts that reached one executor until their not_after. An attempt
// that has run is not run again, and one that was cancelled or refused does not run later. It is
// not safe for concurrent use.
type AttemptTracker[R any] struct {
	maxAttempts int
	attempts    map[AttemptID]*attempt[R]
	expiry      expiryHeap[R]
	// refusedUntil is the latest not_after of the attempts that were refused because the limit was
	// reached. Attempts without a record that end no later are refused too, so that a refusal stays
	// final without a record of it.
	refusedUntil time.Time
	// latestTime is the latest time passed in. A clock that is set back must not let an attempt run
	// again whose record was removed.
	latestTime time.Time
}

// NewAttemptTracker returns a tracker that records at most maxAttempts attempts.
func NewAttemptTracker[R any](maxAttempts int) *AttemptTracker[R] {
	return &AttemptTracker[R]{maxAttempts: maxAttempts, attempts: map[AttemptID]*attempt[R]{}}
}

// Admit decides on a copy of an attempt. The result is set for Recorded.
func (t *AttemptTracker[R]) Admit(now time.Time, id AttemptID, notAfter time.Time) (Verdict, R) {
	var none R
	now = t.advanceClock(now)
	t.expire(now)
	if a, ok := t.attempts[id]; ok {
		return a.repeatVerdict(), a.result
	}
	if !now.Before(notAfter) {
		return Expired, none
	}
	if t.refuseIfFull(notAfter) {
		return TooManyAttempts, none
	}
	t.addAttempt(id, notAfter, waiting)
	return Run, none
}

func (a *attempt[R]) repeatVerdict() Verdict {
	switch a.state {
	case done:
		return Recorded
	case tombstone:
		return Cancelled
	}
	return InFlight
}

// refuseIfFull reports whether a new attempt is refused because the limit is or was reached, and
// updates refusedUntil.
func (t *AttemptTracker[R]) refuseIfFull(notAfter time.Time) bool {
	if len(t.attempts) < t.maxAttempts && notAfter.After(t.refusedUntil) {
		return false
	}
	if notAfter.After(t.refusedUntil) {
		t.refusedUntil = notAfter
	}
	return true
}

func (t *AttemptTracker[R]) addAttempt(id AttemptID, notAfter time.Time, s attemptState) {
	a := &attempt[R]{id: id, state: s, notAfter: notAfter, keepUntil: notAfter}
	t.attempts[id] = a
	heap.Push(&t.expiry, a)
}

// Begin must be called right before an admitted attempt goes to the target. It returns false if the
// attempt was cancelled or its not_after has passed; the attempt will never run then.
func (t *AttemptTracker[R]) Begin(now time.Time, id AttemptID) bool {
	a, ok := t.attempts[id]
	if !ok || a.state != waiting {
		return false
	}
	if !t.advanceClock(now).Before(a.notAfter) {
		a.state = tombstone
		return false
	}
	a.state = running
	return true
}

// Finish records the result of an admitted attempt, which is returned for further copies.
func (t *AttemptTracker[R]) Finish(id AttemptID, result R) {
	a, ok := t.attempts[id]
	if !ok || (a.state != waiting && a.state != running) {
		return
	}
	a.state, a.result = done, result
}

// Cancel ensures that an attempt which has not begun never begins. The result is set for Done.
func (t *AttemptTracker[R]) Cancel(now time.Time, id AttemptID, notAfter time.Time) (CancelResult, R) {
	var none R
	now = t.advanceClock(now)
	t.expire(now)
	a, ok := t.attempts[id]
	if !ok {
		return t.cancelUnknown(now, id, notAfter), none
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

// cancelUnknown cancels an attempt without a record, so that a copy which arrives later does not
// run.
func (t *AttemptTracker[R]) cancelUnknown(now time.Time, id AttemptID, notAfter time.Time) CancelResult {
	if !now.Before(notAfter) {
		return NoRecord
	}
	if !t.refuseIfFull(notAfter) {
		t.addAttempt(id, notAfter, tombstone)
	}
	return NeverRuns
}

// advanceClock returns now, or the latest time passed in if that is later.
func (t *AttemptTracker[R]) advanceClock(now time.Time) time.Time {
	if now.After(t.latestTime) {
		t.latestTime = now
	}
	return t.latestTime
}

// Len returns the number of recorded attempts.
func (t *AttemptTracker[R]) Len() int { return len(t.attempts) }

// expire removes attempts whose not_after has passed; later copies of them are refused by their
// not_after. Attempts that are still waiting or running stay.
func (t *AttemptTracker[R]) expire(now time.Time) {
	for len(t.expiry) > 0 && !now.Before(t.expiry[0].keepUntil) {
		a := heap.Pop(&t.expiry).(*attempt[R])
		if a.state == waiting || a.state == running {
			a.keepUntil = now.Add(openRecheckInterval)
			heap.Push(&t.expiry, a)
			continue
		}
		delete(t.attempts, a.id)
	}
}

// openRecheckInterval is the time between two checks of an attempt that is still open after its
// not_after.
const openRecheckInterval = time.Second

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

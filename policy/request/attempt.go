// Package request decides what becomes of one request: at its coordinator the attempts to run it and its outcome, and at an executor
// which attempts may run. Time and messages are passed in; nothing here sends or waits.
package request

import (
	"time"

	"lacewinglever.dev/policy/ident"
)

// Outcome is what a caller is told about a request.
type Outcome uint8

// Outcomes of a request.
const (
	Pending  Outcome = iota // not decided
	Answered                // the target answered
	NotRun                  // it did not run and will not run
	Unknown                 // it may have run
)

// String returns the outcome as in the header Lacewing-Outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "pending"
}

// AttemptID identifies one attempt in the whole fleet. Incarnation is that of the coordinator.
type AttemptID struct {
	Coordinator ident.NodeID
	Incarnation ident.Incarnation
	Request     uint64
	Number      uint32 // of the attempt, from 1
}

// EventKind tells what happened to an attempt.
type EventKind uint8

// Kinds of event. All but NoExecutor and Selected are about the attempt that Event.Number names.
const (
	Selected        EventKind = iota // dispatch found an executor for the new attempt
	NoExecutor                       // dispatch found no executor
	AnswerReceived                   // the executor returned the target's answer
	NotRunReceived                   // the executor has not run the attempt and will not
	UnknownReceived                  // the executor does not know whether the target ran it
	NotSent                          // no byte of this message was sent, or it reached another incarnation than the one it named
	ReplyLost                        // the executor's reply did not arrive, or tells only that this copy was too late
	CancelSucceeded                  // the executor will never run the attempt
	CancelFailed                     // the cancellation did not arrive, or the attempt had begun
)

// Event is one thing that happened. Number is the attempt's.
type Event struct {
	Kind   EventKind
	Number uint32
}

// ActionKind tells what the coordinator does next.
type ActionKind uint8

// Kinds of action.
const (
	Wait   ActionKind = iota // nothing: the event was late or of another attempt
	Select                   // choose an executor for attempt Number
	Send                     // send attempt Number to its executor
	Resend                   // send the same attempt to the same executor again
	Cancel                   // cancel attempt Number at its executor
	Finish                   // tell the caller Outcome
)

// Action is what the coordinator does next.
type Action struct {
	Kind    ActionKind
	Number  uint32
	Outcome Outcome
}

// maxSends bounds how often one attempt is sent to its executor. The second one collects the answer of an attempt whose reply was lost.
const maxSends = 2

type phase uint8

const (
	selecting phase = iota
	sent
	cancelling
	finished
)

// Request is the state of one request at its coordinator. It has at most one open attempt at a time. It is not safe for concurrent use.
type Request struct {
	deadline    time.Time
	maxAttempts uint32
	number      uint32 // of the open attempt
	phase       phase
	sends       int
	outcome     Outcome
	ignored     int
}

// New returns a request that makes at most maxAttempts attempts, none after the deadline, and its first action.
func New(deadline time.Time, maxAttempts uint32) (*Request, Action) {
	r := &Request{deadline: deadline, maxAttempts: maxAttempts, number: 1}
	return r, Action{Kind: Select, Number: 1}
}

// Outcome returns the outcome, Pending before the action Finish.
func (r *Request) Outcome() Outcome { return r.outcome }

// Attempts returns how many attempts were begun.
func (r *Request) Attempts() uint32 { return r.number }

// Ignored returns how many events were late or about another attempt.
func (r *Request) Ignored() int { return r.ignored }

// Handle takes an event and returns what to do. mayRetry is asked only when a retry is possible, so that it can spend retry budget.
func (r *Request) Handle(now time.Time, e Event, mayRetry func() bool) Action {
	if r.phase == finished || e.Number != r.number {
		return r.ignore()
	}
	switch r.phase {
	case selecting:
		return r.whileSelecting(e)
	case sent:
		return r.whileSent(now, e, mayRetry)
	default:
		return r.whileCancelling(now, e, mayRetry)
	}
}

func (r *Request) ignore() Action {
	r.ignored++
	return Action{Kind: Wait}
}

func (r *Request) whileSelecting(e Event) Action {
	switch e.Kind {
	case Selected:
		r.phase, r.sends = sent, 1
		return Action{Kind: Send, Number: r.number}
	case NoExecutor:
		return r.finish(NotRun)
	}
	return r.ignore()
}

func (r *Request) whileSent(now time.Time, e Event, mayRetry func() bool) Action {
	switch e.Kind {
	case AnswerReceived:
		return r.finish(Answered)
	case UnknownReceived:
		return r.finish(Unknown)
	case NotRunReceived:
		return r.retry(now, mayRetry)
	case NotSent:
		return r.notSent(now, mayRetry)
	case ReplyLost:
		return r.lost(now)
	}
	return r.ignore()
}

// notSent is firm only for the first copy: an earlier copy whose reply was lost may have run.
func (r *Request) notSent(now time.Time, mayRetry func() bool) Action {
	if r.sends > 1 {
		return r.cancel()
	}
	return r.retry(now, mayRetry)
}

func (r *Request) lost(now time.Time) Action {
	if r.sends >= maxSends || !now.Before(r.deadline) {
		return r.cancel()
	}
	r.sends++
	return Action{Kind: Resend, Number: r.number}
}

func (r *Request) cancel() Action {
	r.phase = cancelling
	return Action{Kind: Cancel, Number: r.number}
}

// whileCancelling also takes the attempt's answer, which may cross the cancellation.
func (r *Request) whileCancelling(now time.Time, e Event, mayRetry func() bool) Action {
	switch e.Kind {
	case AnswerReceived:
		return r.finish(Answered)
	case CancelSucceeded, NotRunReceived:
		return r.retry(now, mayRetry)
	case CancelFailed, UnknownReceived:
		return r.finish(Unknown)
	}
	return r.ignore()
}

// retry begins the next attempt. The one before is known not to run.
func (r *Request) retry(now time.Time, mayRetry func() bool) Action {
	if r.number >= r.maxAttempts || !now.Before(r.deadline) || !mayRetry() {
		return r.finish(NotRun)
	}
	r.number++
	r.phase, r.sends = selecting, 0
	return Action{Kind: Select, Number: r.number}
}

func (r *Request) finish(o Outcome) Action {
	r.phase, r.outcome = finished, o
	return Action{Kind: Finish, Number: r.number, Outcome: o}
}

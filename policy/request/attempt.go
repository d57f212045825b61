// Package request decides how one request is run: at its coordinator, the attempts to run it and
// its outcome; at an executor, which attempts may run. Time and messages are arguments. The package
// neither sends nor waits.
package request

import (
	"time"

	"lacewinglever.dev/policy/ident"
)

// Outcome is the result of a request that is returned to the caller.
type Outcome uint8

// Outcomes of a request.
const (
	Pending  Outcome = iota // not decided yet
	Answered                // the target responded
	NotRun                  // the request did not run and will not run
	Unknown                 // the request may have run
)

// String returns the outcome as the header Lacewing-Outcome has it.
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

// EventKind is what happened to an attempt.
type EventKind uint8

// Kinds of event. NoExecutor and Selected are results of the dispatch; all others concern the
// attempt with Event.Number.
const (
	Selected        EventKind = iota // dispatch found an executor for the new attempt
	NoExecutor                       // dispatch found no executor
	AnswerReceived                   // the executor returned the target's response
	NotRunReceived                   // the executor has not run the attempt and will not
	UnknownReceived                  // it is unknown to the executor whether the target ran it
	NotSent                          // no byte of this copy was sent, or it reached an incarnation it was not meant for
	ReplyLost                        // no reply from the executor, or only one that this copy arrived too late
	CancelSucceeded                  // the executor will never run the attempt
	CancelFailed                     // the cancellation did not arrive, or the attempt had begun
)

// Event is one event of a request. Number is that of the attempt.
type Event struct {
	Kind   EventKind
	Number uint32
}

// ActionKind is what the coordinator does next.
type ActionKind uint8

// Kinds of action.
const (
	Wait   ActionKind = iota // nothing: the event was late or concerned another attempt
	Select                   // choose an executor for attempt Number
	Send                     // send attempt Number to its executor
	Resend                   // send the same attempt to the same executor again
	Cancel                   // cancel attempt Number at its executor
	Finish                   // return Outcome to the caller
)

// Action is the next step of the coordinator.
type Action struct {
	Kind    ActionKind
	Number  uint32
	Outcome Outcome
}

// maxSends limits how often one attempt is sent to its executor. The second copy collects the
// result of an attempt whose reply was lost.
const maxSends = 2

// phase is the state of the open attempt.
type phase uint8

const (
	selecting phase = iota
	sent
	cancelling
	finished
)

// Request is the state of one request at its coordinator. It has at most one open attempt at a
// time. It is not safe for concurrent use.
type Request struct {
	deadline    time.Time
	maxAttempts uint32
	number      uint32 // of the open attempt
	phase       phase
	sends       int
	outcome     Outcome
	ignored     int // late events and events of other attempts
}

// New returns a request and its first action. The request makes at most maxAttempts attempts and
// begins none after the deadline.
func New(deadline time.Time, maxAttempts uint32) (*Request, Action) {
	r := &Request{deadline: deadline, maxAttempts: maxAttempts, number: 1}
	return r, Action{Kind: Select, Number: 1}
}

// Outcome returns the outcome, Pending until the action Finish.
func (r *Request) Outcome() Outcome { return r.outcome }

// Attempts returns the number of attempts begun.
func (r *Request) Attempts() uint32 { return r.number }

// Ignored returns the number of events that were late or concerned another attempt.
func (r *Request) Ignored() int { return r.ignored }

// Handle applies an event and returns the next action. mayRetry is called only if a retry is
// possible, so that it can spend retry budget.
func (r *Request) Handle(now time.Time, e Event, mayRetry func() bool) Action {
	if r.phase == finished || e.Number != r.number {
		return r.ignore()
	}
	switch r.phase {
	case selecting:
		return r.handleSelecting(e)
	case sent:
		return r.handleSent(now, e, mayRetry)
	default:
		return r.handleCancelling(now, e, mayRetry)
	}
}

func (r *Request) ignore() Action {
	r.ignored++
	return Action{Kind: Wait}
}

func (r *Request) handleSelecting(e Event) Action {
	switch e.Kind {
	case Selected:
		r.phase, r.sends = sent, 1
		return Action{Kind: Send, Number: r.number}
	case NoExecutor:
		return r.finish(NotRun)
	}
	return r.ignore()
}

func (r *Request) handleSent(now time.Time, e Event, mayRetry func() bool) Action {
	switch e.Kind {
	case AnswerReceived:
		return r.finish(Answered)
	case UnknownReceived:
		return r.finish(Unknown)
	case NotRunReceived:
		return r.retry(now, mayRetry)
	case NotSent:
		return r.handleNotSent(now, mayRetry)
	case ReplyLost:
		return r.handleReplyLost(now)
	}
	return r.ignore()
}

// handleNotSent treats the attempt as not run only if this was the first copy. An earlier copy
// whose reply was lost may have run.
func (r *Request) handleNotSent(now time.Time, mayRetry func() bool) Action {
	if r.sends > 1 {
		return r.startCancel()
	}
	return r.retry(now, mayRetry)
}

func (r *Request) handleReplyLost(now time.Time) Action {
	if r.sends >= maxSends || !now.Before(r.deadline) {
		return r.startCancel()
	}
	r.sends++
	return Action{Kind: Resend, Number: r.number}
}

func (r *Request) startCancel() Action {
	r.phase = cancelling
	return Action{Kind: Cancel, Number: r.number}
}

// handleCancelling also accepts the attempt's result, which may cross the cancellation.
func (r *Request) handleCancelling(now time.Time, e Event, mayRetry func() bool) Action {
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

// retry begins the next attempt, or finishes the request if none is allowed. The previous attempt
// must be certain not to run.
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

package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// message is an Execute, a Cancel or an event in transit. Messages may be lost, duplicated, delayed
// and reordered.
type message struct {
	id     AttemptID
	cancel bool
	event  *Event
	result uint64 // the request whose result this is
}

// simulation is two requests whose attempts reach one executor through an unreliable network.
type simulation struct {
	t         *rapid.T
	now       time.Time
	requests  [2]*Request
	answers   [2]uint64
	tracker   *AttemptTracker[message]
	inTransit []message
	waiting   []AttemptID
	running   []AttemptID
	runs      map[AttemptID]int
}

// deadline differs between the requests, so that the records of one expire before those of the
// other.
func deadline(request uint64) time.Time { return time.Unix(1003+3*int64(request), 0) }

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), runs: map[AttemptID]int{}}
	s.tracker = NewAttemptTracker[message](rapid.IntRange(1, 6).Draw(t, "limit"))
	for i := range s.requests {
		r, action := New(deadline(uint64(i)), 3)
		s.requests[i] = r
		s.apply(uint64(i), action)
	}
	return s
}

// apply performs the action of a coordinator.
func (s *simulation) apply(request uint64, a Action) {
	id := AttemptID{Coordinator: 1, Request: request, Number: a.Number}
	switch a.Kind {
	case Select:
		s.handle(request, Event{Kind: Selected, Number: a.Number})
	case Send, Resend:
		s.inTransit = append(s.inTransit, message{id: id})
	case Cancel:
		s.inTransit = append(s.inTransit, message{id: id, cancel: true})
	}
}

func (s *simulation) handle(request uint64, e Event) {
	s.apply(request, s.requests[request].Handle(s.now, e, func() bool { return true }))
}

// deliver delivers a message. A duplicate stays in transit and is delivered once more.
func (s *simulation) deliver(i int, duplicate bool) {
	m := s.inTransit[i]
	if !duplicate {
		s.inTransit = append(s.inTransit[:i], s.inTransit[i+1:]...)
	}
	switch {
	case m.event != nil:
		r := s.requests[m.id.Request]
		before := r.Outcome()
		s.handle(m.id.Request, *m.event)
		if before == Pending && r.Outcome() == Answered {
			s.answers[m.id.Request] = m.result
		}
	case m.cancel:
		s.cancel(m.id)
	default:
		s.execute(m.id)
	}
}

func (s *simulation) reply(id AttemptID, kind EventKind, result uint64) {
	s.inTransit = append(s.inTransit, message{id: id, event: &Event{Kind: kind, Number: id.Number}, result: result})
}

func (s *simulation) execute(id AttemptID) {
	switch verdict, result := s.tracker.Admit(s.now, id, deadline(id.Request)); verdict {
	case Run:
		s.waiting = append(s.waiting, id)
	case Recorded:
		s.reply(id, result.event.Kind, result.result)
	case Cancelled, TooManyAttempts:
		s.reply(id, NotRunReceived, 0)
	case Expired:
		s.reply(id, ReplyLost, 0)
	}
}

func (s *simulation) cancel(id AttemptID) {
	switch verdict, result := s.tracker.Cancel(s.now, id, deadline(id.Request)); verdict {
	case NeverRuns:
		s.reply(id, CancelSucceeded, 0)
	case Done:
		s.reply(id, result.event.Kind, result.result)
	default:
		s.reply(id, CancelFailed, 0)
	}
}

func (s *simulation) begin(i int) {
	id := s.waiting[i]
	s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
	if !s.tracker.Begin(s.now, id) {
		s.tracker.Finish(id, message{event: &Event{Kind: NotRunReceived}})
		s.reply(id, NotRunReceived, 0)
		return
	}
	s.runs[id]++
	s.running = append(s.running, id)
}

func (s *simulation) finish(i int, kind EventKind) {
	id := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	s.tracker.Finish(id, message{event: &Event{Kind: kind}, result: id.Request})
	s.reply(id, kind, id.Request)
}

// step performs one random step.
func (s *simulation) step(int) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(s.t, "index") }
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0, 1, 2:
		if len(s.inTransit) > 0 {
			s.deliver(pick(len(s.inTransit)), false)
		}
	case 3:
		if len(s.inTransit) > 0 {
			s.deliver(pick(len(s.inTransit)), true)
		}
	case 4:
		if len(s.inTransit) > 0 {
			i := pick(len(s.inTransit))
			s.inTransit = append(s.inTransit[:i], s.inTransit[i+1:]...)
		}
	case 5:
		// Sometimes backwards, like a clock that is set back.
		s.now = s.now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(s.t, "seconds")) * time.Second)
	case 6:
		if len(s.waiting) > 0 {
			s.begin(pick(len(s.waiting)))
		}
	case 7:
		if len(s.running) > 0 {
			s.finish(pick(len(s.running)),
				rapid.SampledFrom([]EventKind{AnswerReceived, UnknownReceived}).Draw(s.t, "result"))
		}
	case 8:
		i := pick(len(s.requests))
		s.handle(uint64(i), Event{Kind: ReplyLost, Number: s.requests[i].Attempts()})
	case 9:
		i := pick(len(s.requests))
		s.handle(uint64(i), Event{Kind: CancelFailed, Number: s.requests[i].Attempts()})
	}
}

// Guards against an attempt that runs twice, a request that runs although "not run" was returned
// for it, a request that is run by two attempts, and a result that is returned for another request.
// Messages are lost, duplicated and reordered and the clock is set back at random.
func TestHostileNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for i := range rapid.IntRange(0, 120).Draw(t, "steps") {
			s.step(i)
		}
		// Deliver all messages that are still in transit.
		for range 200 {
			if len(s.inTransit) > 0 {
				s.deliver(0, false)
			}
			if len(s.waiting) > 0 {
				s.begin(0)
			}
		}
		total := [2]int{}
		for id, n := range s.runs {
			assert.Assert(t, n <= 1, "attempt %v ran %d times", id, n)
			total[id.Request] += n
		}
		for i, r := range s.requests {
			assert.Assert(t, total[i] <= 1, "request %d was run by %d attempts", i, total[i])
			if r.Outcome() == NotRun {
				assert.Equal(t, total[i], 0, "request %d ran", i)
			}
			if r.Outcome() == Answered {
				assert.Equal(t, s.answers[i], uint64(i))
			}
		}
	})
}

// Guards against a refused connection that counts as "not run" although an earlier copy may have
// run, and against retries without budget.
func TestNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	deadline := now.Add(time.Second)
	for name, c := range map[string]struct {
		events []EventKind
		budget bool
		want   Action
	}{
		"first copy, budget":    {[]EventKind{Selected, NotSent}, true, Action{Kind: Select, Number: 2}},
		"first copy, no budget": {[]EventKind{Selected, NotSent}, false, Action{Kind: Finish, Number: 1, Outcome: NotRun}},
		"second copy":           {[]EventKind{Selected, ReplyLost, NotSent}, true, Action{Kind: Cancel, Number: 1}},
		"second copy, no reply": {
			[]EventKind{Selected, ReplyLost, NotSent, CancelFailed}, true,
			Action{Kind: Finish, Number: 1, Outcome: Unknown},
		},
		"no target": {[]EventKind{NoExecutor}, true, Action{Kind: Finish, Number: 1, Outcome: NotRun}},
	} {
		r, _ := New(deadline, 3)
		var got Action
		for _, kind := range c.events {
			got = r.Handle(now, Event{Kind: kind, Number: 1}, func() bool { return c.budget })
		}
		assert.Equal(t, got, c.want, name)
	}
}

// Guards against memory that grows with the number of attempts.
func TestTrackerExpiresAttempts(t *testing.T) {
	tracker := NewAttemptTracker[int](10)
	now := time.Unix(1000, 0)
	for i := range 100 {
		_, _ = tracker.Admit(now, AttemptID{Request: uint64(i)}, now.Add(time.Second))
		_ = tracker.Begin(now, AttemptID{Request: uint64(i)})
		tracker.Finish(AttemptID{Request: uint64(i)}, i)
	}
	assert.Equal(t, tracker.Len(), 10)
	verdict, _ := tracker.Admit(now.Add(2*time.Second), AttemptID{Request: 200}, now.Add(3*time.Second))
	assert.Equal(t, verdict, Run)
	assert.Equal(t, tracker.Len(), 1)
}

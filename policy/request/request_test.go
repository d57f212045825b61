package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// message is an Execute, a Cancel or an event on the way. Messages may be lost, doubled, late and in any order.
type message struct {
	id     AttemptID
	cancel bool
	event  *Event
	result uint64 // the request that an answer belongs to
}

// world is two requests, whose attempts reach one executor through a hostile network.
type world struct {
	t        *rapid.T
	now      time.Time
	requests [2]*Request
	answers  [2]uint64
	executor *AttemptTracker[message]
	net      []message
	waiting  []AttemptID
	running  []AttemptID
	runs     map[AttemptID]int
}

// deadline differs between the requests, so that an executor forgets the attempts of one before those of the other.
func deadline(request uint64) time.Time { return time.Unix(1003+3*int64(request), 0) }

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), runs: map[AttemptID]int{}}
	w.executor = NewAttemptTracker[message](rapid.IntRange(1, 6).Draw(t, "limit"))
	for i := range w.requests {
		r, action := New(deadline(uint64(i)), 3)
		w.requests[i] = r
		w.act(uint64(i), action)
	}
	return w
}

// act carries out what a coordinator decided.
func (w *world) act(request uint64, a Action) {
	id := AttemptID{Coordinator: 1, Request: request, Number: a.Number}
	switch a.Kind {
	case Select:
		w.handle(request, Event{Kind: Selected, Number: a.Number})
	case Send, Resend:
		w.net = append(w.net, message{id: id})
	case Cancel:
		w.net = append(w.net, message{id: id, cancel: true})
	}
}

func (w *world) handle(request uint64, e Event) {
	w.act(request, w.requests[request].Handle(w.now, e, func() bool { return true }))
}

// deliver passes on a message, and keeps it for a second delivery if doubled.
func (w *world) deliver(i int, doubled bool) {
	m := w.net[i]
	if !doubled {
		w.net = append(w.net[:i], w.net[i+1:]...)
	}
	switch {
	case m.event != nil:
		r := w.requests[m.id.Request]
		before := r.Outcome()
		w.handle(m.id.Request, *m.event)
		if before == Pending && r.Outcome() == Answered {
			w.answers[m.id.Request] = m.result
		}
	case m.cancel:
		w.cancel(m.id)
	default:
		w.execute(m.id)
	}
}

func (w *world) reply(id AttemptID, kind EventKind, result uint64) {
	w.net = append(w.net, message{id: id, event: &Event{Kind: kind, Number: id.Number}, result: result})
}

func (w *world) execute(id AttemptID) {
	switch verdict, result := w.executor.Admit(w.now, id, deadline(id.Request)); verdict {
	case Run:
		w.waiting = append(w.waiting, id)
	case Recorded:
		w.reply(id, result.event.Kind, result.result)
	case Cancelled, TooManyAttempts:
		w.reply(id, NotRunReceived, 0)
	case Expired:
		w.reply(id, ReplyLost, 0)
	}
}

func (w *world) cancel(id AttemptID) {
	switch verdict, result := w.executor.Cancel(w.now, id, deadline(id.Request)); verdict {
	case NeverRuns:
		w.reply(id, CancelSucceeded, 0)
	case Done:
		w.reply(id, result.event.Kind, result.result)
	default:
		w.reply(id, CancelFailed, 0)
	}
}

func (w *world) begin(i int) {
	id := w.waiting[i]
	w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
	if !w.executor.Begin(w.now, id) {
		w.executor.Finish(id, message{event: &Event{Kind: NotRunReceived}})
		w.reply(id, NotRunReceived, 0)
		return
	}
	w.runs[id]++
	w.running = append(w.running, id)
}

func (w *world) finish(i int, kind EventKind) {
	id := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	w.executor.Finish(id, message{event: &Event{Kind: kind}, result: id.Request})
	w.reply(id, kind, id.Request)
}

// step does one random thing.
func (w *world) step(int) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "index") }
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0, 1, 2:
		if len(w.net) > 0 {
			w.deliver(pick(len(w.net)), false)
		}
	case 3:
		if len(w.net) > 0 {
			w.deliver(pick(len(w.net)), true)
		}
	case 4:
		if len(w.net) > 0 {
			i := pick(len(w.net))
			w.net = append(w.net[:i], w.net[i+1:]...)
		}
	case 5:
		// Sometimes backwards, as a clock that is set does.
		w.now = w.now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(w.t, "seconds")) * time.Second)
	case 6:
		if len(w.waiting) > 0 {
			w.begin(pick(len(w.waiting)))
		}
	case 7:
		if len(w.running) > 0 {
			w.finish(pick(len(w.running)), rapid.SampledFrom([]EventKind{AnswerReceived, UnknownReceived}).Draw(w.t, "result"))
		}
	case 8:
		i := pick(len(w.requests))
		w.handle(uint64(i), Event{Kind: ReplyLost, Number: w.requests[i].Attempts()})
	case 9:
		i := pick(len(w.requests))
		w.handle(uint64(i), Event{Kind: CancelFailed, Number: w.requests[i].Attempts()})
	}
}

// Guards, whatever the network does, against an attempt that runs twice, a request that runs although its caller is told "not run", a request
// that is run by two attempts, and an answer that is given to another request.
func TestHostileNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for i := range rapid.IntRange(0, 120).Draw(t, "steps") {
			w.step(i)
		}
		// Everything that is still on the way arrives.
		for range 200 {
			if len(w.net) > 0 {
				w.deliver(0, false)
			}
			if len(w.waiting) > 0 {
				w.begin(0)
			}
		}
		total := [2]int{}
		for id, n := range w.runs {
			assert.Assert(t, n <= 1, "attempt %v ran %d times", id, n)
			total[id.Request] += n
		}
		for i, r := range w.requests {
			assert.Assert(t, total[i] <= 1, "request %d was run by %d attempts", i, total[i])
			if r.Outcome() == NotRun {
				assert.Equal(t, total[i], 0, "request %d ran", i)
			}
			if r.Outcome() == Answered {
				assert.Equal(t, w.answers[i], uint64(i))
			}
		}
	})
}

// Guards against a refused connection being firm for an attempt whose first copy may have run, and against retries without budget.
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
		"second copy, no reply": {[]EventKind{Selected, ReplyLost, NotSent, CancelFailed}, true, Action{Kind: Finish, Number: 1, Outcome: Unknown}},
		"no target":             {[]EventKind{NoExecutor}, true, Action{Kind: Finish, Number: 1, Outcome: NotRun}},
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
func TestExecutorForgets(t *testing.T) {
	x := NewAttemptTracker[int](10)
	now := time.Unix(1000, 0)
	for i := range 100 {
		_, _ = x.Admit(now, AttemptID{Request: uint64(i)}, now.Add(time.Second))
		_ = x.Begin(now, AttemptID{Request: uint64(i)})
		x.Finish(AttemptID{Request: uint64(i)}, i)
	}
	assert.Equal(t, x.Len(), 10)
	verdict, _ := x.Admit(now.Add(2*time.Second), AttemptID{Request: 200}, now.Add(3*time.Second))
	assert.Equal(t, verdict, Run)
	assert.Equal(t, x.Len(), 1)
}

package request

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/connid"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/request"
)

// Guards against a failed request when the target beside the coordinator is draining and another
// target could run it.
func TestAnsweredByAnotherAgent(t *testing.T) {
	c := newCluster(t)
	c.add("a", 1, named("a"))
	c.add("b", 1, named("b"))
	c.setState("a", record.Draining)
	got := c.do(c.client("a"), "GET /desk?day=1")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.outcome, "answered")
	assert.Equal(t, got.body, "b GET /desk?day=1")
	assert.Equal(t, got.header.Get(HeaderExecutor), "b")
}

// Guards against new requests to a target that its agent reports as draining, down or shedding. The
// target may be the coordinator's own or another agent's.
func TestUnavailableTargetGetsNoRequests(t *testing.T) {
	for _, load := range []*lacewingv1.Load{{Slots: 1}, {Slots: 1, WarmPerMille: 1000, Shedding: true}} {
		for _, coordinator := range []string{"a", "b"} {
			c := newCluster(t)
			var runs atomic.Int64
			a := c.add("a", 1, counting(&runs, named("a")))
			c.add("b", 1, named("b"))
			a.server.options.Load = func() *lacewingv1.Load { return load }
			client := c.client(coordinator)
			for range 5 {
				assert.Equal(t, c.do(client, "GET /").body, "b GET /")
			}
			assert.Equal(t, runs.Load(), int64(0))
		}
	}
}

// Guards against a connection being attributed to the wrong process: to another agent, to another
// incarnation, or by a connection ID with a wrong tag.
func TestMatchesConnection(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("a", 1, named("a")), c.add("b", 1, named("b"))
	datagram := func(g *connid.Generator) []byte {
		id, err := g.GenerateConnectionID()
		assert.NilError(t, err)
		return append(append([]byte{0x40}, id.Bytes()...), make([]byte, 20)...)
	}
	self := a.server.self
	own := datagram(a.server.generator)
	assert.Assert(t, a.server.MatchesConnection(own))
	assert.Assert(t, !b.server.MatchesConnection(own))
	assert.Assert(t, !a.server.MatchesConnection(datagram(connid.NewGenerator(self.ID, self.Incarnation-1, c.keys))))
	own[connid.Size]++ // the last byte of the tag
	assert.Assert(t, !a.server.MatchesConnection(own))
	assert.Assert(t, !a.server.MatchesConnection(nil))
}

// counting returns a target that counts its requests before it answers.
func counting(runs *atomic.Int64, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		then(w, r)
	}
}

// truncatedAnswer announces 100 bytes, sends 4 and closes the connection.
func truncatedAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("half"))
	panic(http.ErrAbortHandler)
}

func refuseAsNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// neverAnswer reads the body first, because net/http detects only then that the client has
// disconnected.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Guards against three faults: a request that may have run is run again, a request that certainly
// has not run is not tried on another target, and a truncated answer is forwarded or completed from
// another target.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		target  http.HandlerFunc // beside the coordinator, tried first
		line    string
		status  int
		outcome string
		others  int64 // requests that reach the other target
	}{
		"shed by the target": {refuseAsNotRun, "GET /", 200, "answered", 1},
		"cut answer":         {truncatedAnswer, "GET /", 504, "unknown", 0},
		"no answer":          {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "GET /", 504, "unknown", 0},
		"too slow":           {neverAnswer, "GET /", 504, "unknown", 0},
		"503 without not-run header": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
			"GET /", 503, "answered", 0},
		"no content":       {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }, "GET /", 204, "answered", 0},
		"permit is needed": {named("a"), "POST /book", 428, "not-run", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t)
			cluster.spec.Deadline = time.Second
			var others atomic.Int64
			cluster.add("a", 1, c.target)
			cluster.add("b", 1, counting(&others, named("b")))
			got := cluster.do(cluster.client("a"), c.line)
			assert.Equal(t, got.status, c.status, got.body)
			assert.Equal(t, got.outcome, c.outcome)
			assert.Equal(t, others.Load(), c.others)
			assert.Assert(t, got.header.Get(HeaderPermit) != "")
		})
	}
}

// Guards against a failed request when a target or an agent refuses connections. The request
// certainly has not run there, so it is retried elsewhere.
func TestRefusedConnections(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("a", 1, named("a")), c.add("b", 1, named("b"))
	c.add("c", 1, named("c"))
	a.target.Close()
	assert.Equal(t, c.do(c.client("a"), "GET /").outcome, "answered")
	c.setState("a", record.Draining)
	b.rpc.Close()
	b.rpc.CloseClientConnections()
	for range 3 {
		got := c.do(c.client("c"), "GET /")
		assert.Equal(t, got.outcome, "answered", got.body)
		assert.Equal(t, got.header.Get(HeaderExecutor), "c")
	}
}

// Guards against two runs under one permit, and against a changed outcome, when several callers use
// the permit through several agents at the same time.
func TestPermitRunsOnce(t *testing.T) {
	c := newCluster(t)
	var runs atomic.Int64
	slow := counting(&runs, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "run %d", runs.Load())
	})
	for _, name := range []string{"a", "b", "c"} {
		c.add(name, 2, slow)
	}
	permit := c.do(c.client("a"), "POST /book").header.Get(HeaderPermit)
	var wait sync.WaitGroup
	for _, home := range []string{"a", "b", "c", "a", "b", "c"} {
		client := c.client(home)
		wait.Go(func() {
			for range 2 {
				got := c.do(client, "POST /book", HeaderPermit, permit)
				assert.Check(t, got.outcome == "answered" && got.body == "run 1",
					"%d %s %s", got.status, got.outcome, got.body)
			}
		})
	}
	wait.Wait()
	assert.Equal(t, runs.Load(), int64(1))
	got := c.do(c.client("b"), "POST /book/other", HeaderPermit, permit)
	assert.Equal(t, got.status, http.StatusUnprocessableEntity)
	assert.Equal(t, runs.Load(), int64(1))
	next := c.do(c.client("b"), "POST /book", HeaderPermit, got.header.Get(HeaderPermit))
	assert.Equal(t, next.body, "run 2")
}

// Guards against the outcome "not run" for a permit whose issuer is gone or was restarted. The
// issuer may have run the request.
func TestPermitOfLostIncarnation(t *testing.T) {
	c := newCluster(t)
	a := c.add("a", 1, named("a"))
	c.add("b", 1, named("b"))
	client := c.client("b")
	permit := c.do(c.client("a"), "POST /book").header.Get(HeaderPermit)
	a.rpc.Close()
	got := c.do(client, "POST /book", HeaderPermit, permit)
	assert.Equal(t, got.status, 504, got.body)
	assert.Equal(t, got.outcome, "unknown")
	c.add("a", 1, named("a"))
	assert.Equal(t, c.do(client, "POST /book", HeaderPermit, permit).outcome, "unknown")
	assert.Equal(t, c.do(client, "POST /book", HeaderPermit, "nonsense").status, 428)
}

// Guards against the outcome "unknown" after a planned stop of the agent that issued the permit,
// and against a successor that runs a request again. Two agents stop one after the other.
// TestScenarios/target_leaves found this fault.
func TestPermitsSurvivePlannedStop(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("a", 1, named("a")), c.add("b", 1, named("b"))
	runs := 0
	c.add("c", 1, func(w http.ResponseWriter, _ *http.Request) { runs++; _, _ = fmt.Fprintf(w, "run %d", runs) })
	c.setState("a", record.Draining)
	c.setState("b", record.Draining)
	first := c.do(c.client("a"), "POST /book").header.Get(HeaderPermit)
	used := c.do(c.client("a"), "POST /book", HeaderPermit, first)
	assert.Equal(t, used.outcome, "answered", used.body)
	unused := used.header.Get(HeaderPermit)
	c.setState("b", record.Ready)
	c.leave("a", a.server.HandOver(t.Context()))
	c.setState("b", record.Draining)
	c.leave("b", b.server.HandOver(t.Context()))
	client := c.client("c")
	again := c.do(client, "POST /book", HeaderPermit, first)
	assert.Equal(t, again.outcome, "answered", again.body)
	assert.Equal(t, again.body, used.body)
	for range 2 {
		got := c.do(client, "POST /book", HeaderPermit, unused)
		assert.Equal(t, got.body, "run 2", got.outcome)
	}
	assert.Equal(t, runs, 2)
}

// Guards against an unknown outcome of a request that another agent forwards after the drain found
// nothing in progress. The hand-over waits for it, and the successor returns its answer. Without
// the wait, TestScenarios/permits_planned_stop failed once in four runs of the CI script.
func TestHandOverWaitsForAdmittedRequests(t *testing.T) {
	c := newCluster(t)
	started := make(chan struct{})
	slow := func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(300 * time.Millisecond)
		_, _ = fmt.Fprint(w, "ran")
	}
	a := c.add("a", 1, slow)
	permit := c.do(c.client("a"), "POST /book").header.Get(HeaderPermit)
	answers := make(chan answer)
	client := c.client("a")
	go func() { answers <- c.do(client, "POST /book", HeaderPermit, permit) }()
	<-started
	c.add("b", 1, named("b"))
	c.leave("a", a.server.HandOver(t.Context()))
	assert.Equal(t, (<-answers).body, "ran")
	assert.Equal(t, c.do(c.client("b"), "POST /book", HeaderPermit, permit).body, "ran")
}

// Guards against admission of one permit by two processes. An agent that hands its permits over
// admits none afterwards, even if no agent takes them.
func TestNoAdmissionAfterHandOver(t *testing.T) {
	c := newCluster(t)
	a := c.add("a", 1, named("a"))
	permit := c.do(c.client("a"), "POST /book").header.Get(HeaderPermit)
	assert.Equal(t, a.server.HandOver(t.Context()), record.Successor{})
	c.spec.Deadline = 300 * time.Millisecond
	got := c.do(c.client("a"), "POST /book", HeaderPermit, permit)
	assert.Equal(t, got.outcome, "unknown", got.body)
	assert.Assert(t, !a.server.adopt(&lacewingv1.AdoptRequest{Agent: 1, Complete: true}))
}

// Guards against three faults of an executor: it runs a second copy of an attempt, it runs an
// attempt after its cancellation, or it replies in place of another incarnation.
func TestExecutorRPC(t *testing.T) {
	c := newCluster(t)
	var runs atomic.Int64
	b := c.add("b", 1, counting(&runs, named("b")))
	a := c.add("a", 1, named("a"))
	node := b.server.self
	deadline := time.Now().Add(time.Second)
	q := &lacewingv1.Request{Service: uint64(service.ID()), Method: "GET", Path: "/",
		DeadlineUnixMs: uint64(deadline.UnixMilli())}
	id := request.AttemptID{Coordinator: a.server.self.ID, Request: 1, Number: 1}
	ctx := context.Background()
	for range 3 {
		kind, response := a.server.sendExecute(ctx, &node, id, q, deadline)
		assert.Equal(t, kind, request.AnswerReceived)
		assert.Equal(t, string(response.GetBody()), "b GET /")
	}
	id.Number++
	kind, _ := a.server.sendCancel(ctx, &node, id, deadline)
	assert.Equal(t, kind, request.CancelSucceeded)
	kind, _ = a.server.sendExecute(ctx, &node, id, q, deadline)
	assert.Equal(t, kind, request.NotRunReceived)
	id.Number++
	kind, _ = a.server.sendExecute(ctx, &node, id, q, time.Now())
	assert.Equal(t, kind, request.ReplyLost)
	node.Incarnation++
	kind, _ = a.server.sendExecute(ctx, &node, id, q, deadline)
	assert.Equal(t, kind, request.NotSent)
	kind, _ = a.server.sendCancel(ctx, &node, id, deadline)
	assert.Equal(t, kind, request.CancelFailed)
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against an answer that is returned to the wrong request. The executor's reply names
// another attempt here.
func TestReplyToAnotherAttempt(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("a", 1, named("a")), c.add("b", 1, named("b"))
	c.setState("a", record.Draining)
	_, real := b.server.Handler(nil)
	b.rpc.Config.Handler = rpcauth.Handler(c.keys, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/Execute") {
			real.ServeHTTP(w, r)
			return
		}
		reply, _ := proto.Marshal(&lacewingv1.ExecuteResponse{
			Attempt: &lacewingv1.Attempt{Coordinator: uint64(a.server.self.ID), Request: 99},
			Response: &lacewingv1.Response{Outcome: lacewingv1.Outcome_OUTCOME_ANSWERED, Status: 200,
				Body: []byte("another's")},
		})
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write(reply)
	}))
	got := c.do(c.client("a"), "GET /")
	assert.Equal(t, got.outcome, "not-run", "cancelled at the executor, which never received it")
	assert.Assert(t, !strings.Contains(got.body, "another's"))
}

// Guards against three faults under overload: more concurrent requests than the target has slots,
// an unbounded queue, and the outcome "unknown" for a shed request.
func TestOverload(t *testing.T) {
	c := newCluster(t)
	c.spec.QueueLimit = 2
	var busy, most atomic.Int64
	c.add("a", 2, func(http.ResponseWriter, *http.Request) {
		most.Store(max(most.Load(), busy.Add(1)))
		time.Sleep(200 * time.Millisecond)
		busy.Add(-1)
	})
	client := c.client("a")
	outcomes := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range 10 {
		wait.Go(func() {
			got := c.do(client, "GET /")
			mu.Lock()
			defer mu.Unlock()
			outcomes[got.outcome]++
		})
	}
	wait.Wait()
	assert.Assert(t, most.Load() <= 2)
	assert.Assert(t, outcomes["answered"] >= 4 && outcomes["not-run"] >= 1 && outcomes["unknown"] == 0, "%v", outcomes)
}

// Guards against a planned stop that interrupts a request in progress, from its own callers or from
// other coordinators, and against new connections to a draining agent.
func TestDrain(t *testing.T) {
	c := newCluster(t)
	a := c.add("a", 2, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		named("a")(w, r)
	})
	c.add("b", 1, named("b"))
	c.setState("b", record.Draining)
	answers := make(chan answer, 2)
	for _, home := range []string{"a", "b"} {
		client := c.client(home)
		go func() { answers <- c.do(client, "GET /") }()
	}
	for a.server.Load().GetBusySlots() < 2 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error)
	go func() { drained <- a.server.Drain(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	late := c.client("a")
	late.Timeout = 300 * time.Millisecond
	_, err := late.Get("https://slot-desk.example/")
	assert.Assert(t, err != nil)
	assert.NilError(t, <-drained)
	for range 2 {
		got := <-answers
		assert.Equal(t, got.outcome, "answered")
		assert.Equal(t, got.body, "a GET /")
	}
}

// Guards against a slot that stays occupied after the caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	c := newCluster(t)
	c.add("a", 1, named("a"))
	b := c.add("b", 1, neverAnswer)
	c.setState("a", record.Draining)
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://slot-desk.example/", nil)
	assert.NilError(t, err)
	client := c.client("a")
	go func() {
		for b.server.Load().GetBusySlots() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = client.Do(r)
	assert.ErrorIs(t, err, context.Canceled)
	for left := time.Now().Add(time.Second); b.server.Load().GetBusySlots() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(left), "slot still occupied")
	}
}

package ownerquery_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const ms = time.Millisecond // of test times

// flowOf returns one of many flows.
func flowOf(i int) steering.Flow {
	return steering.Flow{CallerIP: [4]byte{100, 64, byte(i >> 8), byte(i)}, CallerPort: 1024, ServicePort: 443}
}

// poolOf returns a pool of n live agents, ranked for a flow of a caller in the data centre "a".
func poolOf(n int, flow steering.Flow) []roster.Peer {
	r := roster.New(0)
	for i := range n {
		node := roster.Node{
			ID: ident.NodeID(i + 1), Name: fmt.Sprint("agent-", i), Incarnation: 1,
			DataCentre: ident.DataCentre(string(rune('a' + i%3))), Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		r.RecordHeartbeat(0, node, roster.Heartbeat{Sequence: 1, Interval: time.Hour, Target: roster.Target{Service: "s", Accepting: true, Slots: 2}})
	}
	agents := r.Agents(nil, "s")
	steering.Rank(flow.Hash(), "a", agents)
	return agents
}

// answer answers all queries that are due: owner's target holds all flows, silent doesn't answer, all others hold none.
func answer(t *ownerquery.Table, now time.Duration, owner, silent ident.NodeID) (queries, flows int, held []steering.Flow) {
	for _, q := range t.Queries(now) {
		queries++
		flows += len(q.Flows)
		if q.Agent == silent {
			continue
		}
		verdicts := make([]ownerquery.Verdict, len(q.Flows))
		for i := range verdicts {
			verdicts[i] = ownerquery.NotHeld
			if q.Agent == owner {
				verdicts[i] = ownerquery.Held
			}
		}
		h, _ := t.RecordAnswer(q.Agent, q.ID, verdicts)
		held = append(held, h...)
	}
	return queries, flows, held
}

// Guards against the storm after the loss of all targets: 2,200 flows that nobody holds, of which each packet visited 42
// agents. Each agent is asked for each flow once, in datagrams of many flows, and retransmissions ask nobody again.
func TestLostFlowsAskEachAgentOnce(t *testing.T) {
	const flows, agents = 2200, 42
	table := ownerquery.New(1)
	queries, asked := 0, 0
	now := 10 * ms
	for round := 0; round < 6; round++ { // retransmissions within the lifetime of the answers
		for i := range flows {
			flow := flowOf(i)
			if table.Lookup(now, flow) == ownerquery.Absent {
				continue
			}
			r, ok := table.Ask(now, flow, poolOf(agents, flow), nil)
			assert.Assert(t, ok)
			if !r.Waiting {
				assert.Equal(t, len(r.Absent), agents)
				table.MarkAbsent(flow)
			}
		}
		q, f, _ := answer(table, now, 0, 0)
		queries, asked = queries+q, asked+f
		now += 200 * ms
	}
	assert.Equal(t, asked, flows*agents)
	assert.Assert(t, queries < 3*flows, "%d queries for %d flows", queries, flows)
	assert.Equal(t, table.Lookup(now, flowOf(0)), ownerquery.Absent)
}

// Guards against queries to the whole pool, which cross the links between data centres, for flows at one of the first agents
// in rank, where nearly all flows are.
func TestTheFirstAgentsAreAskedFirst(t *testing.T) {
	table := ownerquery.New(1)
	flow := flowOf(1)
	agents := poolOf(42, flow)
	r, ok := table.Ask(0, flow, agents, nil)
	assert.Assert(t, ok && r.Waiting)
	assert.Equal(t, table.Lookup(ms, flow), ownerquery.Awaited)
	queries, _, held := answer(table, 0, agents[2].ID, 0)
	assert.Equal(t, queries, 5)
	assert.DeepEqual(t, held, []steering.Flow{flow})
}

// Guards against a search that ends because an answer was lost: the agent is asked again, and then left to the search by
// packets, without being taken for one that doesn't hold the flow.
func TestAgentsThatDontAnswer(t *testing.T) {
	table := ownerquery.New(1)
	flow := flowOf(1)
	agents := poolOf(20, flow)
	silent := agents[1].ID
	var r ownerquery.Result
	asked, now := 0, time.Duration(0)
	for ; now < time.Second; now += 25 * ms {
		if r, _ = table.Ask(now, flow, agents, nil); !r.Waiting {
			break
		}
		_, n, _ := answer(table, now, 0, silent)
		asked += n
	}
	assert.Equal(t, asked, 21)
	assert.Equal(t, len(r.Absent), 19)
	for _, id := range r.Absent {
		assert.Assert(t, id != silent)
	}
	assert.Assert(t, now <= 2*ownerquery.AnswerTimeout+75*ms, "%v", now)
}

// Guards against an answer that counts for a later flow of the same caller and port, or after its agent may have got it.
func TestAnswersExpire(t *testing.T) {
	table := ownerquery.New(1)
	flow := flowOf(1)
	agents := poolOf(20, flow)
	for now := time.Duration(0); now < 100*ms; now += 25 * ms {
		_, _ = table.Ask(now, flow, agents, nil)
		answer(table, now, 0, 0)
	}
	r, _ := table.Ask(150*ms, flow, agents, nil)
	assert.Equal(t, len(r.Absent), 20)
	table.MarkAbsent(flow)
	assert.Equal(t, table.Lookup(4*time.Second, flow), ownerquery.Undecided)
	r, _ = table.Ask(4*time.Second, flow, agents, nil)
	assert.Assert(t, r.Waiting && len(r.Absent) == 0)
	table.End(flow)
	table.Expire(8 * time.Second)
	assert.Equal(t, table.Len(), 0)
}

// Guards against answers of other writers, and memory that grows with the flows that callers make up.
func TestOddAnswersAndLimits(t *testing.T) {
	table := ownerquery.New(1)
	flow := flowOf(1)
	agents := poolOf(20, flow)
	_, _ = table.Ask(0, flow, agents, nil)
	for _, q := range table.Queries(0) {
		h, d := table.RecordAnswer(q.Agent, q.ID, nil)
		assert.Equal(t, len(h)+len(d), 0)
		h, d = table.RecordAnswer(q.Agent+100, q.ID, []ownerquery.Verdict{ownerquery.Held})
		assert.Equal(t, len(h)+len(d), 0)
	}
	for i := range 10_000 {
		_, _ = table.Ask(0, flowOf(i), agents, nil)
	}
	assert.Assert(t, table.Len() <= 4096, "%d", table.Len())
	_, ok := table.Ask(0, flowOf(1), agents[:4], nil)
	assert.Assert(t, !ok, "small pools are searched by packets")
}

// Guards against answers from before a flow has opened, which deny it, in a later search for it.
func TestAnswersToAnEarlierSearchDontCount(t *testing.T) {
	table := ownerquery.New(1)
	flow := flowOf(1)
	agents := poolOf(20, flow)
	_, _ = table.Ask(0, flow, agents, nil)
	earlier := table.Queries(0)
	table.End(flow)
	_, _ = table.Ask(time.Second, flow, agents, nil)
	for _, q := range earlier {
		table.RecordAnswer(q.Agent, q.ID, []ownerquery.Verdict{ownerquery.NotHeld})
	}
	r, _ := table.Ask(time.Second+ms, flow, agents, nil)
	assert.Equal(t, len(r.Absent), 0)
}

// Guards against packets that wait for answers of the whole pool after the restart of all agents, when none of them can tell:
// the first one in rank gets the packet at once, and others are asked only once its target has bounced it.
func TestAnAgentThatCantTellGetsThePacket(t *testing.T) {
	table := ownerquery.New(1)
	flow := flowOf(1)
	agents := poolOf(42, flow)
	answerUnknown := func(now time.Duration) (queries int) {
		for _, q := range table.Queries(now) {
			queries++
			table.RecordAnswer(q.Agent, q.ID, make([]ownerquery.Verdict, len(q.Flows)))
		}
		return queries
	}
	r, _ := table.Ask(0, flow, agents, nil)
	assert.Assert(t, r.Waiting)
	assert.Equal(t, answerUnknown(0), 5)
	r, _ = table.Ask(5*ms, flow, agents, nil)
	assert.Assert(t, !r.Waiting && len(r.Absent) == 0, "%+v", r)
	assert.Equal(t, answerUnknown(5*ms), 0)
	var tried []ident.NodeID
	for _, p := range agents[:5] {
		tried = append(tried, p.ID)
	}
	r, _ = table.Ask(200*ms, flow, agents, tried)
	assert.Assert(t, r.Waiting)
	assert.Equal(t, answerUnknown(200*ms), 37)
}

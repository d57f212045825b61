package flowlist_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/flowlist"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

func flowOf(i int) steering.Flow {
	return steering.Flow{CallerIP: [4]byte{10, 0, byte(i >> 16), 1}, CallerPort: uint16(i)}
}

func listOf(n int) (list []flowlist.Fingerprint) {
	for i := range n {
		list = append(list, flowlist.Of(flowOf(i)))
	}
	return list
}

// pool returns a roster with agents of incarnation 5 in which all targets are running.
func pool(n int) *roster.Roster {
	r := roster.New(ident.NewNodeID("self"))
	for i := range n {
		r.RecordHeartbeat(0, nodeOf(i, 5), roster.Heartbeat{Sequence: 1})
	}
	return r
}

func nodeOf(i int, incarnation ident.Incarnation) roster.Node {
	name := fmt.Sprint("agent-", i)
	return roster.Node{ID: ident.NewNodeID(name), Name: name, Incarnation: incarnation, DataCentre: "dc"}
}

// next returns the name of the agent to which the packet of flow 0 goes, "" if it is held, and whether that is due to a list.
func next(now time.Duration, r *roster.Roster, lists *flowlist.Lists, asked steering.Asked) (string, bool) {
	agents := slices.DeleteFunc(r.Peers(), func(p roster.Peer) bool { return p.Entry })
	index, result, _, listed := steering.NextListed(now, agents, asked, true, lists.Lookup(now, flowOf(0)))
	if result != steering.Continue {
		return "", listed
	}
	return agents[index].Name, listed
}

const s = time.Second // of test times

// Guards against packets at other targets while the agent of a listed flow is being restarted, and against callers that
// wait for an agent that doesn't come back or doesn't hold the flow.
func TestSearchesForListedFlowsWaitForTheAgent(t *testing.T) {
	away := nodeOf(3, 5)
	listing := steering.Listing{Agent: away.ID, Incarnation: 5}
	lists := &flowlist.Lists{}
	r := pool(6)
	none := steering.Asked{}
	heartbeats := func(now time.Duration, sequence uint64) {
		for _, i := range []int{0, 1, 2, 4, 5} {
			r.RecordHeartbeat(now, nodeOf(i, 5), roster.Heartbeat{Sequence: sequence})
		}
	}
	expect := func(now time.Duration, asked steering.Asked, name string, listed bool) {
		t.Helper()
		got, by := next(now, r, lists, asked)
		assert.Equal(t, by, listed, got)
		if listed {
			assert.Equal(t, got, name)
		} else {
			assert.Assert(t, got != "" && got != name, got)
		}
	}
	lists.Record(0, listing, []flowlist.Fingerprint{flowlist.Of(flowOf(0))})
	expect(0, none, "", true) // the list has overtaken the heartbeat
	r.RecordHeartbeat(0, away, roster.Heartbeat{Sequence: 2, Leaving: true})
	heartbeats(2*s, 2)
	expect(2*s, none, "", true)
	expect(2*s, steering.Asked{Tried: []ident.NodeID{away.ID}}, away.Name, false) // its target has bounced the packet
	heartbeats(7*s, 3)
	expect(7*s, steering.Asked{Silent: []ident.NodeID{away.ID}}, "", true)
	heartbeats(9*s, 4)
	expect(9*s, none, away.Name, false) // it is gone

	back := nodeOf(3, 6)
	lists.Record(10*s, listing, []flowlist.Fingerprint{flowlist.Of(flowOf(0))})
	heartbeats(10*s, 5)
	r.Add(10*s, back, "", false)
	expect(10*s, none, "", true) // no heartbeat yet
	r.RecordHeartbeat(10*s, back, roster.Heartbeat{Sequence: 1})
	expect(10*s, none, back.Name, true)
	expect(10*s, steering.Asked{Tried: []ident.NodeID{away.ID}}, back.Name, false)
	expect(10*s, steering.Asked{Silent: []ident.NodeID{away.ID}}, back.Name, false)
	heartbeats(13*s, 6)
	expect(13*s, none, back.Name, false) // silent since its return
	r.RecordHeartbeat(13*s, back, roster.Heartbeat{Sequence: 2, Target: roster.Target{Ended: true}})
	expect(13*s, none, back.Name, false)
	r.RecordHeartbeat(22*s, back, roster.Heartbeat{Sequence: 3})
	heartbeats(22*s, 7)
	assert.Equal(t, len(lists.Lookup(22*s, flowOf(0))), 0)
}

// Guards against memory that grows with the messages of other nodes, and against delayed messages of an earlier process.
func TestListsAreBounded(t *testing.T) {
	lists := &flowlist.Lists{}
	for i := range 1000 {
		lists.Record(0, steering.Listing{Agent: ident.NodeID(1 + i), Incarnation: 1}, listOf(1))
	}
	kept := lists.Kept(0)
	assert.Equal(t, len(kept), 256)
	assert.Equal(t, kept[0].Agent, ident.NodeID(1000), "the latest are kept")
	assert.Equal(t, lists.Record(0, steering.Listing{Agent: 1000, Incarnation: 2}, listOf(5000)), flowlist.MaxFlows)
	assert.Equal(t, lists.Record(0, steering.Listing{Agent: 1000, Incarnation: 1}, listOf(1)), flowlist.MaxFlows)
	assert.Equal(t, lists.Lookup(0, flowOf(1))[0], steering.Listing{Agent: 1000, Incarnation: 2})
	assert.Equal(t, len(lists.Kept(time.Minute)), 0)
}

// Guards against flows that were idle while the agent ran, and are missing in its next list.
func TestOwnListContainsThatOfTheProcessBefore(t *testing.T) {
	own := &flowlist.Own{}
	all := listOf(5000)
	own.Record(0, all[:4])
	own.Remove(flowOf(3)) // bounced
	served := []steering.Flow{flowOf(9), flowOf(1)}
	list := own.List(time.Second, served)
	assert.DeepEqual(t, list[:2], []flowlist.Fingerprint{all[9], all[1]})
	assert.Equal(t, len(list), 4)
	assert.Assert(t, slices.Contains(list, all[0]) && slices.Contains(list, all[2]))
	assert.Equal(t, len(own.List(10*time.Minute, served)), 2)
	for i := range all {
		served = append(served, flowOf(i))
	}
	assert.Equal(t, len(own.List(time.Second, served)), flowlist.MaxFlows)
	own.Clear()
	assert.Equal(t, len(own.List(time.Second, nil)), 0)
}

// Guards against traffic to nodes that never search for the flows, and against a search of a node that got no list.
func TestOnlyNodesThatMaySearchGetAList(t *testing.T) {
	r := roster.New(ident.NewNodeID("self"))
	for i, service := range []string{"a", "b", "c", ""} {
		n := nodeOf(i, 5)
		if i == 0 {
			n.DataCentre = "far"
		}
		n.Entry = service == ""
		r.RecordHeartbeat(0, n, roster.Heartbeat{Sequence: 1, Target: roster.Target{Service: service}})
	}
	self := nodeOf(9, 5)
	var names []string
	for _, p := range flowlist.Receivers(0, &self, r.Peers(), map[string]struct{}{"a": {}, "c": {}}) {
		names = append(names, p.Name)
	}
	assert.Equal(t, len(names), 3)
	assert.Equal(t, names[2], "agent-0", "those of other data centres come last")
	assert.Assert(t, !slices.Contains(names, "agent-1"))
}

package steering_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

func agent(name string, dc ident.DataCentre) roster.Peer {
	return roster.Peer{
		Node: roster.Node{ID: ident.NewNodeID(name), Name: name, DataCentre: dc}, Ever: true, Service: "s",
		Beat: roster.Beat{Target: roster.Target{Service: "s", Accepting: true, Slots: 3}},
	}
}

func pool(n int) []roster.Peer {
	var agents []roster.Peer
	for i := range n {
		agents = append(agents, agent(fmt.Sprint("agent-", i), ident.DataCentre(fmt.Sprint("dc-", i%3))))
	}
	return agents
}

// Guards against targets that draw more than their share of long flows, which stay where they opened.
func TestFlowsSpreadEvenly(t *testing.T) {
	agents := pool(7)
	for i := range 2100 {
		flow := steering.Flow{CallerPort: uint16(i), CallerIP: [4]byte{100, 64, 0, byte(i % 50)}}
		origin := ident.DataCentre(fmt.Sprint("dc-", i%3))
		steering.Rank(flow.Hash(), origin, agents)
		at := steering.Place(0, origin, agents, nil)
		agents[at].Target.Flows++
	}
	for i := range agents {
		share := float64(agents[i].Target.Flows) / 300
		assert.Assert(t, share > 0.9 && share < 1.1, "%s has %.2f of the mean", agents[i].Name, share)
	}
}

// Guards against new flows at targets that are full, draining, silent, or beside an agent that stops.
func TestPlaceSkipsTargetsThatDoNotAccept(t *testing.T) {
	agents := pool(6)
	agents[0].Target.Accepting = false
	agents[1].Leaving = true
	agents[2].Heard = -time.Second
	agents[3].Ever = false
	tried := []ident.NodeID{agents[4].ID}
	assert.Equal(t, steering.Place(0, "dc-0", agents, tried), 5)
	assert.Equal(t, steering.Place(0, "dc-0", agents[:5], tried), -1)
}

// Guards against a slow target that gets as many new flows as the others: its requests in progress pile up.
func TestPlaceAvoidsBusyTargets(t *testing.T) {
	agents := pool(3)
	agents[0].Target.Busy, agents[1].Target.Busy = 9, 9
	for origin := range 3 {
		assert.Equal(t, steering.Place(0, ident.DataCentre(fmt.Sprint("dc-", origin)), agents, nil), 2)
	}
}

// Guards against a reset of a flow whose target may live: one agent that was not asked and may be back is enough to wait.
func TestSearchGivesUpOnlyWhenAllAreKnown(t *testing.T) {
	agents := pool(3)
	agents[2].Heard = -time.Second
	tried := []ident.NodeID{agents[0].ID}
	at, verdict := steering.Next(0, agents, tried, true)
	assert.Equal(t, at, 1)
	assert.Equal(t, verdict, steering.Continue)
	tried = append(tried, agents[1].ID)
	_, verdict = steering.Next(0, agents, tried, true)
	assert.Equal(t, verdict, steering.Unknown)
	agents[2].Heard = -10 * time.Second
	_, verdict = steering.Next(0, agents, tried, true)
	assert.Equal(t, verdict, steering.Nowhere)
	_, verdict = steering.Next(0, agents, tried, false)
	assert.Equal(t, verdict, steering.Unknown)
}

// Guards against a search that ends early because two nodes rank differently.
func TestRankDependsOnFlowAndOriginOnly(t *testing.T) {
	a, b := pool(7), pool(7)
	b[0], b[6] = b[6], b[0]
	steering.Rank(42, "dc-1", a)
	steering.Rank(42, "dc-1", b)
	for i := range a {
		assert.Equal(t, a[i].Name, b[i].Name)
	}
}

package heartbeat_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/heartbeat"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// fleet returns the peers of an agent of service "s" in "dc-0". A third of the nodes are entries,
// and one agent in four belongs to that service.
func fleet(nodes, dataCentres int) []roster.Peer {
	peers := make([]roster.Peer, nodes)
	for i := range peers {
		name := fmt.Sprint("n-", i)
		service := "other"
		if i%4 == 1 {
			service = "s"
		}
		peers[i] = roster.Peer{
			Node: roster.Node{
				ID: ident.NewNodeID(name), Name: name, Entry: i%3 == 0,
				DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%dataCentres)),
				Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7720),
			},
			Service: service, HeartbeatSeen: true,
		}
	}
	return peers
}

func self() *roster.Node { return &roster.Node{ID: 1, DataCentre: "dc-0"} }

// Guards against heartbeat traffic that grows with the fleet. At 300 machines, heartbeats from
// every node to every other one cost more than half of the value that callers got from the service.
// The cost was that of the bytes between data centres, when each agent sent its heartbeats to every
// entry and every agent of its service.
func TestHeartbeatsAreBounded(t *testing.T) {
	const perSecond = 170 // 32 per round, plus rounding up of two lists
	for _, c := range []struct{ nodes, dataCentres int }{{17, 3}, {89, 5}, {200, 5}, {2000, 18}, {48000, 18}} {
		peers := fleet(c.nodes, c.dataCentres)
		plan := heartbeat.NewPlan(0, self(), "s", peers)
		sent, far := 0, 0
		dataCentre := map[netip.AddrPort]ident.DataCentre{}
		for i := range peers {
			dataCentre[peers[i].Address] = peers[i].DataCentre
		}
		for round := range uint64(50) {
			for _, r := range plan.Due(round) {
				sent++
				if dataCentre[r.Address] != "dc-0" {
					far++
				}
			}
		}
		if c.nodes > 32 {
			assert.Equal(t, far, 0, "%d nodes", c.nodes)
		}
		assert.Assert(t, sent/10 <= 2*perSecond, "%d nodes: %d datagrams a second", c.nodes, sent/10)
	}
}

// Guards against a node that counts as silent because it sends heartbeats less often than they
// promise.
func TestHeartbeatsArriveWithinTheirInterval(t *testing.T) {
	for _, c := range []struct{ nodes, dataCentres int }{{17, 3}, {200, 5}, {2000, 18}} {
		peers := fleet(c.nodes, c.dataCentres)
		plan := heartbeat.NewPlan(0, self(), "s", peers)
		last := map[netip.AddrPort]uint64{}
		for round := range uint64(200) {
			for _, r := range plan.Due(round) {
				if before, ok := last[r.Address]; ok {
					assert.Assert(t, time.Duration(round-before)*heartbeat.RoundInterval <= r.Interval,
						"%d nodes, round %d", c.nodes, round)
				}
				last[r.Address] = round
			}
		}
		for i := range peers {
			if plan.Direct || peers[i].DataCentre == "dc-0" {
				assert.Assert(t, last[peers[i].Address] > 0, "%d nodes: no heartbeat to %s", c.nodes, peers[i].Name)
			}
		}
	}
}

// Guards against small fleets in which loads and silence show later than with heartbeats to all
// nodes, which the budget of a small fleet allows.
func TestSmallFleetsSendToAllDirectly(t *testing.T) {
	peers := fleet(17, 3)
	plan := heartbeat.NewPlan(0, self(), "s", peers)
	assert.Assert(t, plan.Direct)
	for n := range 40 {
		plan := heartbeat.NewPlan(0, self(), "s", fleet(n, 3))
		assert.Assert(t, plan.Direct || plan.Relayed, "%d nodes", n)
		fewer := heartbeat.NewPlan(0, self(), "s", fleet(n/2+1, 3)) // plan of a relay with half of the peers
		assert.Assert(t, plan.Direct || fewer.Relayed, "%d nodes", n)
	}
	interval := map[netip.AddrPort]time.Duration{}
	for round := range uint64(5) {
		for _, r := range plan.Due(round) {
			interval[r.Address] = r.Interval
		}
	}
	for i := range peers {
		p := &peers[i]
		want := time.Second
		if p.Entry || p.Service == "s" {
			want = heartbeat.RoundInterval
		}
		assert.Equal(t, interval[p.Address], want, p.Name)
	}
}

// Guards against entries that place flows by loads that are a second old, and against an answer to
// each of many flows.
func TestEntriesThatPlaceFlowsGetHeartbeats(t *testing.T) {
	plan := heartbeat.NewPlan(0, self(), "s", fleet(200, 5))
	entry := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 7720)
	}
	var a heartbeat.ActiveEntries
	r, sendNow := a.RecordPlacement(0, plan, "dc-0", "dc-3", entry(0))
	assert.Assert(t, sendNow && r.ViaDigest,
		"the first flow is answered, without a promise of heartbeats to another data centre")
	_, sendNow = a.RecordPlacement(10*time.Millisecond, plan, "dc-0", "dc-3", entry(0))
	assert.Assert(t, !sendNow, "answered 10 ms ago")
	_, sendNow = a.RecordPlacement(200*time.Millisecond, plan, "dc-0", "dc-3", entry(0))
	assert.Assert(t, sendNow)
	assert.Equal(t, len(a.TakeReceivers(time.Second)), 1)
	assert.Equal(t, len(a.TakeReceivers(3*time.Second)), 0, "the entry no longer places flows")
	for i := range 40 {
		a.RecordPlacement(4*time.Second, plan, "dc-0", "dc-0", entry(i))
	}
	receivers := a.TakeReceivers(4 * time.Second)
	assert.Equal(t, len(receivers), 16)
	assert.Equal(t, receivers[15].Address, entry(39), "the latest are kept")
}

// Guards against a starting node that requests the list of nodes from all others, which caused
// 0.4 GB between data centres when 195 nodes started, and against one that sends the request to
// nodes that don't run while others do.
func TestSample(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	running := func(p *roster.Peer) bool { return p.Entry }
	seen := map[string]bool{}
	for range 300 {
		some := heartbeat.Sample(2, fleet(30, 3), running, random.IntN)
		assert.Equal(t, len(some), 2)
		assert.Assert(t, some[0].Entry && some[1].Entry && some[0].ID != some[1].ID)
		seen[some[0].Name] = true
	}
	assert.Equal(t, len(seen), 10, "each of the preferred nodes is drawn")
	some := heartbeat.Sample(5, fleet(6, 3), running, random.IntN)
	assert.Assert(t, some[0].Entry && some[1].Entry && !some[2].Entry && !some[4].Entry)
	assert.Equal(t, len(heartbeat.Sample(5, fleet(3, 3), running, random.IntN)), 3)
	assert.Equal(t, len(heartbeat.Sample(5, nil, running, random.IntN)), 0)
}

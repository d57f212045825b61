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
		plan := heartbeat.NewPlan(0, self(), "s", peers, true, nil)
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
		plan := heartbeat.NewPlan(0, self(), "s", peers, true, nil)
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
	plan := heartbeat.NewPlan(0, self(), "s", peers, true, nil)
	assert.Assert(t, plan.Direct)
	for n := range 40 {
		plan := heartbeat.NewPlan(0, self(), "s", fleet(n, 3), true, nil)
		assert.Equal(t, plan.ReachesAll(0), n <= 32, "%d nodes", n)
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

// promiseTest plays one node's heartbeats to peers that come and go, and the relays of its data centre.
type promiseTest struct {
	random   *rand.Rand
	all      []roster.Peer
	known    []bool           // to the node
	received []*roster.Roster // by each peer
	node     roster.Node
	sequence uint64
	plan     *heartbeat.Plan
}

func (p *promiseTest) replan(now time.Duration) {
	var peers []roster.Peer
	for i := range p.all {
		if p.known[i] {
			peers = append(peers, p.all[i])
		}
	}
	p.plan = heartbeat.NewPlan(now, &p.node, "s", peers, now >= time.Second, p.plan)
}

func (p *promiseTest) heartbeat(now time.Duration, r heartbeat.Receiver) roster.Heartbeat {
	p.sequence++
	return roster.Heartbeat{Sequence: p.sequence, Interval: r.Interval, ViaDigest: r.ViaDigest, Direct: p.plan.ReachesAll(now)}
}

// change makes a peer known or unknown to the node, as a node does that introduces itself.
func (p *promiseTest) change(now time.Duration, i int) {
	peer := &p.all[i]
	if p.known[i] = !p.known[i]; !p.known[i] {
		return
	}
	p.received[i] = roster.New(peer.ID)
	if p.plan.Direct && !p.plan.Promises(peer.Address) {
		p.replan(now)
	}
	r := p.plan.OneOff(p.node.DataCentre, peer.DataCentre, peer.Address)
	p.received[i].RecordHeartbeat(now, p.node, p.heartbeat(now, r))
}

// relay reports the node to the other data centres if it relies on that.
func (p *promiseTest) relay(now time.Duration) {
	if p.plan.ReachesAll(now) {
		return
	}
	hb := p.heartbeat(now, heartbeat.Receiver{})
	for i := range p.all {
		if p.all[i].DataCentre != p.node.DataCentre && p.known[i] {
			p.received[i].RecordDigest(now, p.node.DataCentre)
			p.received[i].RecordRelayed(now, 0, p.node, hb, false)
		}
	}
}

// Guards against heartbeats that a node has promised and no longer sends when its roster grows or shrinks.
func TestPromisesAreKept(t *testing.T) {
	for seed := range uint64(60) {
		p := &promiseTest{random: rand.New(rand.NewPCG(seed, 1)), all: fleet(60, 3),
			node: roster.Node{ID: 1, Name: "self", Incarnation: 1, DataCentre: "dc-0"}}
		p.known = make([]bool, len(p.all))
		indexes := map[netip.AddrPort]int{}
		for i := range p.all {
			p.known[i] = p.random.IntN(2) == 0
			p.received = append(p.received, roster.New(p.all[i].ID))
			indexes[p.all[i].Address] = i
		}
		relayLostUntil := time.Duration(0)
		for round := range uint64(300) {
			now := time.Duration(round) * heartbeat.RoundInterval
			if round%5 == 0 {
				p.replan(now)
			}
			if p.random.IntN(3) == 0 {
				p.change(now, p.random.IntN(len(p.all)))
			}
			for range 4 { // peers that were heard: the others cease to count as running
				p.all[p.random.IntN(len(p.all))].LastSeen = now
			}
			for _, r := range p.plan.Due(round) {
				p.received[indexes[r.Address]].RecordHeartbeat(now, p.node, p.heartbeat(now, r))
			}
			if now > relayLostUntil && p.random.IntN(30) == 0 {
				relayLostUntil = now + 4*time.Second
			}
			if now > relayLostUntil && round%3 == 0 {
				p.relay(now)
			}
			for i := range p.all {
				n, ok := p.received[i].Find(p.node.ID)
				assert.Assert(t, !ok || !p.known[i] || n.Health(now) != roster.Gone,
					"seed %d, round %d, %s: %+v", seed, round, p.all[i].Name, n)
			}
		}
	}
}

// Guards against a gap between the heartbeats of a node and what relays report of it.
func TestModesOverlap(t *testing.T) {
	small := heartbeat.NewPlan(0, self(), "s", fleet(32, 3), true, nil)
	large := heartbeat.NewPlan(time.Second, self(), "s", fleet(33, 3), true, small)
	assert.Assert(t, small.ReachesAll(0) && !large.ReachesAll(time.Second))
	told := map[netip.AddrPort]bool{}
	for _, r := range append(large.Due(0), large.Due(1)...) {
		told[r.Address] = r.ViaDigest
	}
	peers := fleet(33, 3)
	for i := range peers[:32] {
		viaDigest, sent := told[peers[i].Address]
		if peers[i].DataCentre != "dc-0" {
			assert.Assert(t, sent && viaDigest, peers[i].Name)
		}
	}
	assert.Equal(t, len(large.All()), 11+21, "announcements still go to those of the other data centres")
	later := heartbeat.NewPlan(4*time.Second, self(), "s", fleet(33, 3), true, large)
	assert.Equal(t, len(later.All()), 11+21)
	over := heartbeat.NewPlan(6*time.Second, self(), "s", fleet(33, 3), true, later)
	assert.Equal(t, len(over.All()), 11)
	again := heartbeat.NewPlan(7*time.Second, self(), "s", fleet(32, 3), true, over)
	assert.Assert(t, again.Direct && !again.ReachesAll(7*time.Second) && again.ReachesAll(12*time.Second))
}

// Guards against a promise of heartbeats to a node that only a later plan may contain.
func TestNodesOutsideThePlanArePromisedNothing(t *testing.T) {
	peers := fleet(30, 3)
	plan := heartbeat.NewPlan(0, self(), "s", peers, true, nil)
	unknown := netip.MustParseAddrPort("10.9.9.9:7720")
	starting := heartbeat.NewPlan(0, self(), "s", peers, false, nil)
	assert.Assert(t, starting.OneOff("dc-0", "dc-1", peers[1].Address).ViaDigest)
	assert.Equal(t, len(starting.All()), 10, "those of its data centre")
	assert.Equal(t, len(heartbeat.NewPlan(time.Second, self(), "s", fleet(200, 3), true, starting).All()), 67,
		"a node that starts in a large fleet has promised nothing")
	assert.Assert(t, plan.OneOff("dc-0", "dc-1", unknown).ViaDigest)
	assert.Assert(t, !plan.OneOff("dc-0", "dc-0", unknown).ViaDigest, "the next plan contains it")
	assert.Assert(t, !plan.OneOff("dc-0", "dc-1", peers[1].Address).ViaDigest)
	var a heartbeat.ActiveEntries
	r, _ := a.RecordPlacement(0, plan, "dc-0", "dc-1", unknown)
	assert.Assert(t, r.ViaDigest)
}

// Guards against entries that place flows by loads that are a second old, and against an answer to
// each of many flows.
func TestEntriesThatPlaceFlowsGetHeartbeats(t *testing.T) {
	plan := heartbeat.NewPlan(0, self(), "s", fleet(200, 5), true, nil)
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

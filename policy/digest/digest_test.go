package digest_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/digest"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

func node(i int, dc string, entry bool) roster.Node {
	name := fmt.Sprintf("%s-%d", dc, i)
	return roster.Node{ID: ident.NewNodeID(name), Name: name, Incarnation: 1, DataCentre: ident.DataCentre(dc), Entry: entry}
}

func newsOf(n int) []digest.NodeUpdate {
	news := make([]digest.NodeUpdate, n)
	for i := range news {
		news[i] = digest.NodeUpdate{Node: node(i, "dc-0", false), Heartbeat: roster.Heartbeat{Sequence: 1, Target: roster.Target{Accepting: true}}}
	}
	return news
}

// Guards against a target that ends and is offered flows of other data centres until its turn in the digests comes.
func TestChangesAreToldAtOnce(t *testing.T) {
	var r digest.Relay
	news := newsOf(100)
	for range 20 {
		r.Select(0, news, true)
	}
	news[77].Heartbeat.Target.Accepting = false
	for range 2 {
		selected := r.Select(0, news, false)
		assert.Equal(t, len(selected), 1, "told twice, because a datagram may be lost")
		assert.Equal(t, selected[0].Node.Name, "dc-0-77")
	}
	assert.Equal(t, len(r.Select(0, news, false)), 0)
}

// Guards against digests that grow with the data centre, and against nodes that are never told of again after a lost digest.
func TestAllNodesHaveTheirTurn(t *testing.T) {
	for _, n := range []int{5, 39, 300, 2700} {
		var r digest.Relay
		news := newsOf(n)
		for len(r.Select(0, news, false)) > 0 { // all are new at first
		}
		turns := (n + digest.NodesPerDatagram - 1) / digest.NodesPerDatagram
		seen := map[ident.NodeID]bool{}
		for range turns {
			selected := r.Select(0, news, true)
			assert.Assert(t, len(selected) <= digest.NodesPerDatagram)
			for i := range selected {
				seen[selected[i].Node.ID] = true
			}
		}
		assert.Equal(t, len(seen), n)
	}
}

// Guards against a data centre without relays, or with many, when nodes are lost; and against agents as relays beside entries that run.
func TestRelaysAreFew(t *testing.T) {
	var all []roster.Peer
	for i := range 39 {
		all = append(all, roster.Peer{Node: node(i, "dc-0", i < 12), HeartbeatSeen: true})
	}
	relays := func(lost map[int]bool) (ids []int) {
		for i := range all {
			if lost[i] {
				continue
			}
			var others []roster.Peer
			for k := range all {
				if k != i && !lost[k] {
					others = append(others, all[k])
				}
			}
			if digest.IsRelay(0, &all[i].Node, others) {
				ids = append(ids, i)
			}
		}
		return ids
	}
	before := relays(nil)
	assert.Equal(t, len(before), 2)
	assert.Assert(t, before[0] < 12 && before[1] < 12)
	after := relays(map[int]bool{before[0]: true, before[1]: true})
	assert.Equal(t, len(after), 2)
	assert.Assert(t, after[0] < 12 && after[1] < 12)
	noEntries := map[int]bool{}
	for i := range 12 {
		noEntries[i] = true
	}
	assert.Equal(t, len(relays(noEntries)), 2)
}

// Guards against a digest that goes to one node of a data centre for ever, which may be lost, or to none because all seem lost.
func TestReceiversAreDrawn(t *testing.T) {
	self := node(0, "dc-0", true)
	var peers []roster.Peer
	for i := range 5 {
		peers = append(peers, roster.Peer{Node: node(i, "dc-1", false), HeartbeatSeen: true}, roster.Peer{Node: node(i, "dc-2", false), HeartbeatSeen: true, Silent: true})
	}
	random := rand.New(rand.NewPCG(1, 2))
	seen := map[string]bool{}
	for range 200 {
		receivers := digest.Receivers(0, &self, peers, random.IntN)
		assert.Equal(t, len(receivers), 2)
		for _, p := range receivers {
			seen[p.Name] = true
		}
	}
	assert.Equal(t, len(seen), 10)
}

// world plays the digests of data centre dc-0 to a node elsewhere: its two relays hear all nodes each second, and tell them; a part of the digests is
// lost.
type world struct {
	random *rand.Rand
	loss   float64
	nodes  []roster.Node
	alive  []bool
	beats  []roster.Heartbeat
	relays [2]digest.Relay
	heard  [2]*roster.Roster
	there  *roster.Roster
	told   int
}

func newWorld(n int, loss float64, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), loss: loss, there: roster.New(99)}
	for i := range n {
		w.nodes = append(w.nodes, node(i, "dc-0", false))
		w.alive = append(w.alive, true)
		w.beats = append(w.beats, roster.Heartbeat{Interval: time.Second, Target: roster.Target{Service: "s", Accepting: true}})
	}
	for i := range w.heard {
		w.heard[i] = roster.New(98)
	}
	return w
}

func (w *world) step(now time.Duration) {
	for i, n := range w.nodes {
		if w.alive[i] && (now+time.Duration(i)*10*time.Millisecond)%time.Second == 0 {
			w.beats[i].Sequence++
			for k := range w.heard {
				if w.random.Float64() >= w.loss {
					w.heard[k].RecordHeartbeat(now, n, w.beats[i])
				}
			}
		}
	}
	if now%(100*time.Millisecond) != 0 {
		return
	}
	for k := range w.relays {
		var news []digest.NodeUpdate
		for _, p := range w.heard[k].Peers() {
			news = append(news, digest.NodeUpdate{Node: p.Node, Heartbeat: p.Heartbeat, Age: now - p.LastSeen, Silent: p.Overdue(now)})
		}
		selected := w.relays[k].Select(now, news, now%roster.DigestInterval == 0)
		for len(selected) > 0 {
			part := selected[:min(digest.NodesPerDatagram, len(selected))]
			selected = selected[len(part):]
			w.told++
			if w.random.Float64() < w.loss {
				continue
			}
			w.there.RecordDigest(now, "dc-0")
			for _, n := range part {
				w.there.RecordRelayed(now, n.Age, n.Node, n.Heartbeat, n.Silent)
			}
		}
	}
}

// Guards against living nodes that count as silent elsewhere when links lose packets, against lost nodes that count as living, and against digests whose
// number grows with the data centre.
func TestNewsOfADataCentre(t *testing.T) {
	const (
		lostAt = 10 * time.Second
		length = 20 * time.Second
	)
	for _, n := range []int{12, 39, 300} {
		for seed := range uint64(max(1, 60/n)) {
			w := newWorld(n, 0.05, seed)
			var noticed time.Duration
			atStart := 0
			for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
				if now == lostAt {
					w.alive[0] = false
				}
				w.step(now)
				if now == 5*time.Second {
					atStart = w.told
				}
				if now < 5*time.Second || now%(50*time.Millisecond) != 0 {
					continue
				}
				quiet := 0
				for _, p := range w.there.Peers() {
					if p.Health(now) == roster.Live {
						continue
					}
					if p.Name == "dc-0-0" && now > lostAt {
						if noticed == 0 {
							noticed = now - lostAt
						}
						continue
					}
					quiet++
				}
				assert.Assert(t, quiet <= n/10, "%d nodes, seed %d: %d living nodes are quiet at %v", n, seed, quiet, now)
			}
			assert.Equal(t, len(w.there.Peers()), n)
			assert.Assert(t, noticed > 0 && noticed < 4*time.Second, "%d nodes, seed %d: loss noticed after %v", n, seed, noticed)
			perSecond := float64(w.told-atStart) / (length - 5*time.Second).Seconds()
			assert.Assert(t, perSecond < 20, "%d nodes: %.0f digests a second", n, perSecond)
		}
	}
}

// Guards against a relay that stood still, or hears nobody, and calls its whole data centre silent: others would give up the flows of living targets.
func TestDeafRelaysCallNobodySilent(t *testing.T) {
	silent := func(selected []digest.NodeUpdate) (n int) {
		for i := range selected {
			if selected[i].Silent {
				n++
			}
		}
		return n
	}
	const step = 100 * time.Millisecond
	now := time.Duration(0)
	var r digest.Relay
	news := newsOf(20)
	run := func(d time.Duration) (n int) {
		for end := now + d; now < end; now += step {
			n += silent(r.Select(now, news, true))
		}
		return n
	}
	run(3 * time.Second)
	news[3].Silent = true
	assert.Assert(t, run(time.Second) > 0, "one node is lost")
	for i := range news {
		news[i].Silent = i > 0 // its own state is known
	}
	assert.Equal(t, run(time.Second), 0, "all others are lost at once")
	for i := range news {
		news[i].Silent = i%2 == 0
	}
	assert.Assert(t, run(time.Second) > 0, "half of them are")
	now += 2 * time.Second
	assert.Equal(t, run(time.Second), 0, "the relay stood still")
	assert.Assert(t, run(2*time.Second) > 0, "it has caught up")
}

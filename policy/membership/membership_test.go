package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

const step = 100 * time.Millisecond

func watchedNodes(n int, rack string, entry bool, dc ident.DataCentre) []Watched {
	out := make([]Watched, n)
	for i := range out {
		name := fmt.Sprint(dc, rack, entry, i)
		out[i] = Watched{Node: record.Node{ID: ident.NewNodeID(name), Name: name, DataCentre: dc,
			Rack: rack, Entry: entry, State: record.Ready}}
	}
	return out
}

// simulation drives a tracker with heartbeats of the nodes that are up.
type simulation struct {
	tracker *Tracker
	nodes   []Watched
	down    map[ident.NodeID]bool
	now     time.Time
	events  []Event
}

func simulate(nodes []Watched) *simulation {
	s := &simulation{
		tracker: NewTracker(record.Node{ID: 1, DataCentre: "dc1"}), nodes: nodes,
		down: map[ident.NodeID]bool{}, now: time.UnixMilli(1e12),
	}
	s.tracker.Watch(s.now, nodes)
	return s
}

func (s *simulation) advance(d time.Duration) []Event {
	s.events = nil
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		for _, n := range s.nodes {
			if !s.down[n.Node.ID] {
				s.tracker.RecordHeartbeat(n.Node.ID, s.now)
			}
		}
		s.events = append(s.events, s.tracker.Tick(s.now)...)
	}
	return s.events
}

func (s *simulation) stop(nodes []Watched) {
	for _, n := range nodes {
		s.down[n.Node.ID] = true
	}
}

func count(events []Event, kind EventKind) int {
	n := 0
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against live nodes that are suspected or declared dead because heartbeats were lost,
// duplicated or reordered, or because the watcher was paused for any time.
func TestLiveNodesAreNeverDeclaredDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := append(watchedNodes(3, "", false, "dc1"), watchedNodes(4, "", true, "dc2")...)
		s := simulate(nodes)
		s.advance(step)
		var old []time.Time
		for range rapid.IntRange(10, 100).Draw(t, "ticks") {
			if rapid.IntRange(0, 9).Draw(t, "pause") == 0 {
				s.now = s.now.Add(time.Duration(rapid.IntRange(800, 60_000).Draw(t, "milliseconds")) * time.Millisecond)
				if events := s.tracker.Tick(s.now); len(events) > 0 {
					t.Fatalf("after a pause of the watcher: %v", events)
				}
			}
			s.now = s.now.Add(step)
			for _, n := range nodes {
				// One heartbeat in three may be lost, but at most 800 ms pass between two.
				at, _ := s.silenceStart(n)
				if s.now.Sub(at) >= 800*time.Millisecond || rapid.IntRange(0, 2).Draw(t, "lost") > 0 {
					s.tracker.RecordHeartbeat(n.Node.ID, s.now)
					old = append(old, s.now)
				}
				s.tracker.RecordHeartbeat(n.Node.ID, rapid.SampledFrom(append(old, s.now)).Draw(t, "late"))
			}
			if events := s.tracker.Tick(s.now); len(events) > 0 {
				t.Fatalf("live nodes: %v", events)
			}
		}
	})
}

func (s *simulation) silenceStart(n Watched) (time.Time, bool) {
	w := s.tracker.watches[n.Node.ID]
	return w.silenceStart, w.heartbeatSeen
}

// Guards against a dead node that is found too early, too late or more than once, also when the
// watcher is paused meanwhile.
func TestSilentNodeIsDeclaredDeadOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := simulate(watchedNodes(5, "", false, "dc1"))
		s.advance(time.Second)
		s.stop(s.nodes[:1])
		since := s.now
		if rapid.Bool().Draw(t, "paused") {
			s.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "before")) * step)
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
			s.tracker.Tick(s.now)
			since = s.now
		}
		early := s.advance(DeadAfter - step - s.now.Sub(since))
		if count(early, Died) > 0 {
			t.Fatalf("dead too early")
		}
		if !s.tracker.Suspect(s.nodes[0].Node.ID) {
			t.Fatalf("not suspect")
		}
		events := s.advance(20 * time.Second)
		if len(events) != 1 || events[0] != (Event{Kind: Died, Node: s.nodes[0].Node.ID}) {
			t.Fatalf("want one death: %v", events)
		}
	})
}

// Guards against a lost rack or data centre that causes one record per node, and against a scope
// that never returns.
func TestScopeLossAndReturn(t *testing.T) {
	rack := watchedNodes(6, "r1", false, "dc1")
	remote := watchedNodes(8, "", true, "dc2")
	for i := range remote {
		remote[i].SuspectOnly = true
	}
	for name, lost := range map[ScopeName][]Watched{
		{record.ScopeRack, "dc1/r1"}:    rack,
		{record.ScopeDataCentre, "dc2"}: remote[:4], // half of them
	} {
		s := simulate(append(append([]Watched{}, rack...), remote...))
		s.advance(time.Second)
		s.stop(lost)
		events := s.advance(30 * time.Second)
		assert.Equal(t, count(events, ScopeDown), 1, "%v: %v", name, events)
		assert.Equal(t, count(events, Died), 0)
		assert.Equal(t, s.tracker.Suspect(lost[0].Node.ID), true)
		s.down = map[ident.NodeID]bool{}
		events = s.advance(5 * time.Second)
		assert.Equal(t, count(events, ScopeUp), 1, "%v: %v", name, events)
		assert.Equal(t, count(events, Recovered), len(lost))
		assert.Equal(t, count(events, Died), 0)
	}
}

// Guards against a refuted scope that is declared down again at once, and against dead nodes of
// such a scope that are never declared dead.
func TestRefutedScope(t *testing.T) {
	s := simulate(watchedNodes(6, "r1", false, "dc1"))
	s.advance(time.Second)
	s.stop(s.nodes[:4])
	assert.Equal(t, count(s.advance(5*time.Second), ScopeDown), 1)
	s.tracker.SetScope(s.now, ScopeName{record.ScopeRack, "dc1/r1"}, false)
	events := s.advance(10 * time.Second)
	assert.Equal(t, count(events, ScopeDown), 0)
	assert.Equal(t, count(events, Died), 4)
}

// Guards against declaring a node dead that has sent no heartbeat here yet, before it can have been
// notified that it is watched from here.
func TestUnheardNode(t *testing.T) {
	s := simulate(watchedNodes(1, "", false, "dc1"))
	s.stop(s.nodes)
	assert.Equal(t, count(s.advance(NeverSeenDeadAfter-step), Died), 0)
	assert.Equal(t, count(s.advance(2*step), Died), 1)
}

// Guards against a live node that stays dead in the records, whatever record another node issued,
// and against needless refutation.
func TestRefute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() record.Node {
			return record.Node{
				ID:          7,
				Incarnation: ident.Incarnation(rapid.Uint64Range(1, 4).Draw(t, "incarnation")),
				Sequence:    rapid.Uint64Range(0, 4).Draw(t, "sequence"),
				State:       record.State(rapid.IntRange(1, 5).Draw(t, "state")),
			}
		}
		own := draw()
		own.State = record.State(rapid.IntRange(1, 3).Draw(t, "own state"))
		for range 5 {
			seen := record.ForNode(draw())
			needed := seen.Version.Compare(record.ForNode(own).Version) > 0
			raised, refuted := Refute(own, seen)
			if refuted != needed || raised.State != own.State ||
				refuted && record.ForNode(raised).Version.Compare(seen.Version) <= 0 {
				t.Fatalf("own %+v, seen %+v, raised %+v", own, seen.Version, raised)
			}
			own = raised
		}
	})
}

// Guards against nodes without watchers in data centres with few entries, and against a node that
// watches itself.
func TestWatchersOf(t *testing.T) {
	ids := []ident.NodeID{10, 11, 12, 13, 14, 15}
	for local := range len(ids) {
		for _, id := range append(ids, 99) {
			w := WatchersOf(id, ids[:local], ids[local:])
			assert.Equal(t, len(w), Watchers)
			for _, x := range w {
				assert.Assert(t, x != id)
			}
		}
	}
}

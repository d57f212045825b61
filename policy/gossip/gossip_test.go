package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

func drawRecord(t *rapid.T) record.Record {
	n := rapid.IntRange(0, 5).Draw(t, "key")
	name := ident.ServiceName{Team: "t", Name: fmt.Sprint(n)}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return record.ForRevision(record.Revision{Service: name, Number: rapid.Uint64Range(1, 9).Draw(t, "number")})
	case 1:
		return record.ForNode(record.Node{
			ID: ident.NodeID(n + 1), Entry: n%2 == 0, DataCentre: ident.DataCentre(fmt.Sprint("dc", n%3)),
			Service:     name.ID(),
			Incarnation: ident.Incarnation(rapid.Uint64Range(1, 3).Draw(t, "incarnation")),
			Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
			State:       record.State(rapid.IntRange(1, 5).Draw(t, "state")),
		})
	}
	issued := time.UnixMilli(rapid.Int64Range(1, 9).Draw(t, "issued"))
	return record.ForScope(record.Scope{Kind: record.ScopeRack, Name: fmt.Sprint(n), Issued: issued, Issuer: 1})
}

// exchange is one Sync call of a to b.
func exchange(a, b *Store, f Filter) {
	differing := a.Digests(f).Differing(b.Digests(f))
	records, wanted := b.Missing(f, differing, a.RecordDigests(f, differing))
	for _, r := range records {
		a.Merge(r)
	}
	for _, r := range a.Find(f, differing, wanted) {
		b.Merge(r)
	}
}

// Guards against records that return to an older version, and against nodes whose records stay
// different when messages are reordered, duplicated and lost.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stores := []*Store{NewStore(), NewStore(), NewStore()}
		newest := map[string]record.Version{}
		var sent []record.Record
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := drawRecord(t)
			if len(sent) > 0 && rapid.Bool().Draw(t, "deliver old") { // out of order, possibly a duplicate
				r = rapid.SampledFrom(sent).Draw(t, "message")
			}
			sent = append(sent, r)
			s := rapid.SampledFrom(stores).Draw(t, "receiver") // lost for the others
			before, _ := s.Get(r.Key)
			s.Merge(r)
			after, _ := s.Get(r.Key)
			if after.Version.Compare(before.Version) < 0 || after.Version.Compare(r.Version) < 0 {
				t.Fatalf("%s went from %v to %v on %v", r.Key, before.Version, after.Version, r.Version)
			}
			if v, ok := newest[r.Key]; !ok || r.Version.Compare(v) > 0 {
				newest[r.Key] = r.Version
			}
		}
		for _, pair := range [][2]int{{0, 1}, {1, 2}, {2, 0}, {0, 1}} {
			exchange(stores[pair[0]], stores[pair[1]], Filter{})
		}
		for _, s := range stores {
			if s.Digests(Filter{}).Root() != stores[0].Digests(Filter{}).Root() || s.Len() != len(newest) {
				t.Fatalf("stores differ after exchanges")
			}
			for key, v := range newest {
				if r, _ := s.Get(key); r.Version != v {
					t.Fatalf("%s: %v, newest is %v", key, r.Version, v)
				}
			}
		}
	})
}

// Guards against incremental digests that differ from the records, and against a filtered exchange
// that leaves an agent without some of its records or sends it records of others.
func TestDigestsAndFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry, agent := NewStore(), NewStore()
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			entry.Merge(drawRecord(t))
		}
		var scanned Digests
		entry.Each(Filter{}, nil, func(r record.Record) { scanned[Bucket(r.Key)] ^= digestOf(&r) })
		if scanned != *entry.Digests(Filter{}) {
			t.Fatalf("incremental digests differ from the records")
		}
		f := Filter{Service: ident.ServiceName{Team: "t", Name: "1"}.ID(), DataCentre: "dc2"}
		exchange(agent, entry, f)
		if agent.Digests(f).Root() != entry.Digests(f).Root() {
			t.Fatalf("agent is incomplete")
		}
		entry.Each(Filter{}, nil, func(r record.Record) {
			if _, ok := agent.Get(r.Key); ok != f.Matches(&r) {
				t.Fatalf("%s: agent has it: %v", r.Key, ok)
			}
		})
		agent.Each(Filter{}, nil, func(r record.Record) {
			foreign := r.Service != nil && r.Service.Service.Name != "1" ||
				r.Node != nil && r.Node.Entry && r.Node.DataCentre != "dc2" ||
				r.Node != nil && !r.Node.Entry && r.Node.Service != f.Service
			if foreign {
				t.Fatalf("agent was sent %s", r.Key)
			}
		})
	})
}

// Guards against records of ended nodes that are kept forever, against the removal of other
// records, and against digests that differ afterwards from those of a store that never held the
// removed records.
func TestExpire(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	all, kept := NewStore(), NewStore()
	removed := 0
	for i := range 60 {
		n := record.Node{ID: ident.NodeID(i + 1), Entry: i%2 == 0, State: record.State(1 + i%5)}
		if !n.Alive() && i%7 != 0 { // some records have no end time
			n.Ended = now.Add(-time.Duration(i) * 3 * time.Minute)
		}
		r := record.ForNode(n)
		all.Merge(r)
		if !n.Ended.IsZero() && now.Sub(n.Ended) > record.Retention+record.ExpiryStep {
			removed++
			continue
		}
		kept.Merge(r)
	}
	assert.Assert(t, removed > 0)
	assert.Equal(t, len(all.Expire(now)), removed)
	for _, f := range []Filter{{}, {DataCentre: "dc1"}} {
		assert.Equal(t, all.Digests(f).Root(), kept.Digests(f).Root())
	}
}

// Guards against node records that are pushed faster than the control budget, batches above the
// limit, records that are never pushed, and settings that wait behind node records or for tokens.
func TestQueuePacing(t *testing.T) {
	const size, limit = 300, 1200
	sizeOf := func(*record.Record) int { return size }
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		start := time.UnixMilli(0)
		now := start
		q.Take(now, limit, sizeOf)
		unsent := map[string]record.Version{}
		nodeBytes := 0 // spent on batches with node records
		take := func() {
			batch := q.Take(now, limit, sizeOf)
			spent := 3 * size * len(batch)
			if size*len(batch) > limit {
				t.Fatalf("batch of %d records", len(batch))
			}
			last := classSettings
			for i := range batch {
				if classOf(&batch[i]) < last {
					t.Fatalf("priority: %s too late", batch[i].Key)
				}
				last = classOf(&batch[i])
				if batch[i].Version.Compare(unsent[batch[i].Key]) >= 0 {
					delete(unsent, batch[i].Key)
				}
			}
			if last == classNode {
				nodeBytes += spent
			}
			for key := range unsent {
				if size*len(batch) < limit && key[:len("node")] != "node" {
					t.Fatalf("%s waits although the batch has space", key)
				}
			}
			q.Spend(spent)
			if allowed := PushBurst + now.Sub(start).Seconds()*PushRate + 3*limit; float64(nodeBytes) > allowed {
				t.Fatalf("%d bytes of node batches by %v, allowed %.0f", nodeBytes, now.Sub(start), allowed)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			for range rapid.IntRange(0, 8).Draw(t, "records") {
				r := drawRecord(t)
				q.Add(r)
				if v, ok := unsent[r.Key]; !ok || r.Version.Compare(v) > 0 {
					unsent[r.Key] = r.Version
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			take()
		}
		for i := 0; q.Len() > 0; i++ {
			now = now.Add(time.Second)
			take()
			if i > 1000 {
				t.Fatalf("%d records are never pushed", q.Len())
			}
		}
		if len(unsent) > 0 {
			t.Fatalf("not pushed: %v", unsent)
		}
	})
}

// BenchmarkDigestsFiltered gives the cost of filtered digests over 61,000 nodes.
func BenchmarkDigestsFiltered(b *testing.B) {
	s := NewStore()
	for i := range 61000 {
		s.Merge(record.ForNode(record.Node{ID: ident.NodeID(i + 1), Service: ident.ServiceID(i % 13000),
			Incarnation: 1, State: record.Ready}))
	}
	assert.Equal(b, s.Len(), 61000)
	b.ResetTimer()
	for b.Loop() {
		s.Digests(Filter{Service: 5, DataCentre: "dc1"})
	}
}

package peer

import (
	"sync"
	"sync/atomic"
	"time"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
)

const activityShards = 16

// nodeActivity is the time of the last datagram and the newest load report from a node.
type nodeActivity struct {
	lastSeenNanos atomic.Int64 // nanoseconds since the start of the table
	load          atomic.Pointer[loadReport]
}

type loadReport struct {
	load       *lacewingv1.Load
	receivedAt time.Time
}

// activityTable is updated for every datagram on the data path, so an update for a known node costs
// only a read lock and an atomic store.
type activityTable struct {
	start  time.Time
	shards [activityShards]struct {
		mu    sync.RWMutex
		nodes map[ident.NodeID]*nodeActivity
	}
}

func newActivityTable() *activityTable {
	t := &activityTable{start: time.Now()}
	for i := range t.shards {
		t.shards[i].nodes = map[ident.NodeID]*nodeActivity{}
	}
	return t
}

func (t *activityTable) get(id ident.NodeID) *nodeActivity {
	s := &t.shards[uint64(id)%activityShards]
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.nodes[id]
}

// markSeen records that a datagram from the node arrived now.
func (t *activityTable) markSeen(id ident.NodeID) *nodeActivity {
	a := t.get(id)
	if a == nil {
		a = t.add(id)
	}
	a.lastSeenNanos.Store(int64(time.Since(t.start)))
	return a
}

func (t *activityTable) add(id ident.NodeID) *nodeActivity {
	s := &t.shards[uint64(id)%activityShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.nodes[id]
	if a == nil {
		a = &nodeActivity{}
		s.nodes[id] = a
	}
	return a
}

// lastSeen returns the time of the last datagram from the node.
func (t *activityTable) lastSeen(id ident.NodeID) (time.Time, bool) {
	a := t.get(id)
	if a == nil {
		return time.Time{}, false
	}
	return t.start.Add(time.Duration(a.lastSeenNanos.Load())), true
}

// removeOlder removes nodes without a datagram for longer than age.
func (t *activityTable) removeOlder(age time.Duration) {
	oldest := int64(time.Since(t.start) - age)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, a := range s.nodes {
			if a.lastSeenNanos.Load() < oldest {
				delete(s.nodes, id)
			}
		}
		s.mu.Unlock()
	}
}

package peer

import (
	"sync"
	"sync/atomic"
	"time"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
)

const heardShards = 16

// contact is when a node was last heard and what load it reported.
type contact struct {
	heard atomic.Int64 // nanoseconds since the table was made
	load  atomic.Pointer[loadReport]
}

type loadReport struct {
	load *lacewingv1.Load
	at   time.Time
}

// heardTable is written for every datagram on the data path, so that a known node costs a read lock and an atomic store.
type heardTable struct {
	start  time.Time
	shards [heardShards]struct {
		mu       sync.RWMutex
		contacts map[ident.NodeID]*contact
	}
}

func newHeardTable() *heardTable {
	t := &heardTable{start: time.Now()}
	for i := range t.shards {
		t.shards[i].contacts = map[ident.NodeID]*contact{}
	}
	return t
}

func (t *heardTable) get(id ident.NodeID) *contact {
	s := &t.shards[uint64(id)%heardShards]
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.contacts[id]
}

// touch notes that a node was heard now.
func (t *heardTable) touch(id ident.NodeID) *contact {
	c := t.get(id)
	if c == nil {
		c = t.add(id)
	}
	c.heard.Store(int64(time.Since(t.start)))
	return c
}

func (t *heardTable) add(id ident.NodeID) *contact {
	s := &t.shards[uint64(id)%heardShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.contacts[id]
	if c == nil {
		c = &contact{}
		s.contacts[id] = c
	}
	return c
}

// at returns when a node was last heard.
func (t *heardTable) at(id ident.NodeID) (time.Time, bool) {
	c := t.get(id)
	if c == nil {
		return time.Time{}, false
	}
	return t.start.Add(time.Duration(c.heard.Load())), true
}

// forget drops nodes that were silent for longer than age.
func (t *heardTable) forget(age time.Duration) {
	limit := int64(time.Since(t.start) - age)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, c := range s.contacts {
			if c.heard.Load() < limit {
				delete(s.contacts, id)
			}
		}
		s.mu.Unlock()
	}
}

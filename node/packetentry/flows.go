package packetentry

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/steering"
)

// shardCount is the number of parts of the flow table, each under its own lock. It is a power of
// two.
const shardCount = 16

// flowTable maps flows to the agents whose targets hold them. It is a cache: the owner of a missing
// flow is searched for.
type flowTable struct {
	shards [shardCount]flowShard
}

type flowShard struct {
	mu    sync.Mutex
	flows map[steering.Flow]flowRecord
}

type flowRecord struct {
	owner    ident.NodeID
	lastUsed time.Duration
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i].flows = map[steering.Flow]flowRecord{}
	}
	return t
}

func (t *flowTable) shard(f steering.Flow) *flowShard { return &t.shards[f.Hash()%shardCount] }

func (t *flowTable) get(now time.Duration, f steering.Flow) (ident.NodeID, bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.flows[f]
	if ok {
		record.lastUsed = now
		s.flows[f] = record
	}
	return record.owner, ok
}

func (t *flowTable) put(now time.Duration, f steering.Flow, owner ident.NodeID) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[f] = flowRecord{owner, now}
}

// removeOwner removes the record of a flow if it names this owner, and reports whether it did.
func (t *flowTable) removeOwner(f steering.Flow, owner ident.NodeID) bool {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.flows[f]; !ok || r.owner != owner {
		return false
	}
	delete(s.flows, f)
	return true
}

func (t *flowTable) expire(now, idle time.Duration) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, r := range s.flows {
			if now-r.lastUsed > idle {
				delete(s.flows, f)
			}
		}
		s.mu.Unlock()
	}
}

func (t *flowTable) size() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].flows)
		t.shards[i].mu.Unlock()
	}
	return n
}

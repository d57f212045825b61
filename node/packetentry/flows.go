package packetentry

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/steering"
)

// shards is the number of parts of the flow table, a power of two, each under its own lock.
const shards = 16

// flowTable remembers where flows are. It is a cache: any flow that is missing from it is searched.
type flowTable struct {
	shards [shards]flowShard
}

type flowShard struct {
	mu    sync.Mutex
	flows map[steering.Flow]flowRecord
}

type flowRecord struct {
	owner ident.NodeID
	used  time.Duration
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i].flows = map[steering.Flow]flowRecord{}
	}
	return t
}

func (t *flowTable) shard(f steering.Flow) *flowShard { return &t.shards[f.Hash()%shards] }

func (t *flowTable) get(now time.Duration, f steering.Flow) (ident.NodeID, bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.flows[f]
	if ok {
		r.used = now
		s.flows[f] = r
	}
	return r.owner, ok
}

func (t *flowTable) put(now time.Duration, f steering.Flow, owner ident.NodeID) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[f] = flowRecord{owner, now}
}

func (t *flowTable) expire(now, idle time.Duration) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, r := range s.flows {
			if now-r.used > idle {
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

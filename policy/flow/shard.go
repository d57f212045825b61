package flow

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Sizes of the table. Slots are numbered across shards, so that they fit the 22 host bits of 127.64.0.0/10.
const (
	shardBits  = 6
	shards     = 1 << shardBits
	SlotBits   = 22
	shardSlots = 1 << (SlotBits - shardBits)
	chunkSize  = 128
	noIndex    = ^uint32(0)
	// tick is the unit of times in the table; 32 bits of it last 13 years.
	tick = 100 * time.Millisecond
)

type kind uint8

const (
	free      kind = iota
	owned          // node is the entry that carried the last datagram
	directory      // node owns the flow, as it told us itself
	hearsay        // node owns the flow, as another agent told us or as we chose
	redirect       // node is claiming the flow
)

// entry is one flow or directory entry: 48 bytes.
type entry struct {
	caller     ident.Caller
	kind       kind
	last       uint32       // tick of the last use, or of the release of a free entry
	node       ident.NodeID // see kind
	registered ident.NodeID // home that knows this owned flow
	next       ident.NodeID // home that joins and knows this owned flow
}

// shard is a part of the table. Entries stay where they are, so that an index is a slot number.
type shard struct {
	mu        sync.Mutex
	index     map[ident.Caller]uint32
	chunks    [][]entry
	used      uint32 // entries that were ever in use
	freeHead  uint32 // oldest free entry
	freeTail  uint32
	claims    map[ident.Caller]*claim
	heldBytes int
}

func (s *shard) init() {
	s.index = map[ident.Caller]uint32{}
	s.claims = map[ident.Caller]*claim{}
	s.freeHead, s.freeTail = noIndex, noIndex
}

func (s *shard) at(i uint32) *entry { return &s.chunks[i/chunkSize][i%chunkSize] }

func (s *shard) find(c ident.Caller) (*entry, uint32) {
	i, ok := s.index[c]
	if !ok {
		return nil, 0
	}
	return s.at(i), i
}

// put returns the entry of c, new if need be, with the given kind and node. It returns nil if the shard is full.
func (s *shard) put(now time.Duration, c ident.Caller, k kind, node ident.NodeID) (*entry, uint32) {
	e, i := s.find(c)
	if e == nil {
		i = s.take(now)
		if i == noIndex {
			return nil, 0
		}
		e = s.at(i)
		s.index[c] = i
	}
	*e = entry{caller: c, kind: k, node: node, last: uint32(now / tick)}
	return e, i
}

// take returns a free entry. The oldest free one is reused once late answers of the target to its former flow cannot arrive any more.
func (s *shard) take(now time.Duration) uint32 {
	if i := s.freeHead; i != noIndex {
		e := s.at(i)
		if now >= time.Duration(e.last)*tick+slotReuseDelay+tick {
			s.freeHead = uint32(e.node)
			if s.freeHead == noIndex {
				s.freeTail = noIndex
			}
			return i
		}
	}
	if s.used == shardSlots {
		return noIndex
	}
	if s.used%chunkSize == 0 {
		s.chunks = append(s.chunks, make([]entry, chunkSize))
	}
	s.used++
	return s.used - 1
}

// remove frees the entry. A free entry's node is the index of the next free one.
func (s *shard) remove(now time.Duration, e *entry, i uint32) {
	delete(s.index, e.caller)
	*e = entry{last: uint32(now / tick), node: ident.NodeID(noIndex)}
	if s.freeTail != noIndex {
		s.at(s.freeTail).node = ident.NodeID(i)
	} else {
		s.freeHead = i
	}
	s.freeTail = i
}

func (e *entry) idle(now time.Duration) time.Duration { return now - time.Duration(e.last)*tick }

func shardOf(hash uint64) uint32 { return uint32(hash >> (64 - shardBits)) }

func slotOf(shard, index uint32) uint32 { return index<<shardBits | shard }

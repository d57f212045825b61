package flow

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Sizes of the table. Slot numbers cover all shards and fit the 22 host bits of 127.64.0.0/10.
const (
	shardBits  = 6
	shardCount = 1 << shardBits
	SlotBits   = 22
	shardSlots = 1 << (SlotBits - shardBits)
	chunkSize  = 128
	noIndex    = ^uint32(0)
	// tickLength is the unit of times in the table: 32 bits of it last 13 years.
	tickLength = 100 * time.Millisecond
)

type entryKind uint8

// Kinds of entry. They decide what entry.node is.
const (
	free        entryKind = iota
	owned                 // node is the entry node that forwarded the last datagram
	confirmed             // node owns the flow, according to its own message
	unconfirmed           // node owns the flow, according to another agent or to a placement by this one
	redirect              // node is claiming the flow
)

// entry is an owned flow or a directory entry. Its size is 48 bytes.
type entry struct {
	caller         ident.Caller
	kind           entryKind
	lastUsed       uint32       // in tickLength: the last use, or the release of a free entry
	node           ident.NodeID // meaning depends on kind
	registeredHome ident.NodeID // home with which this owned flow is registered
	joiningHome    ident.NodeID // home once the joining agents are ready, with which this owned flow is registered
}

// shard is a part of the table with a lock of its own. Entries never move, so that an index is a
// slot number.
type shard struct {
	mu        sync.Mutex
	index     map[ident.Caller]uint32
	chunks    [][]entry
	used      uint32 // number of entries that were ever in use
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

// put sets the kind and node of the caller's entry and creates the entry if there is none. It
// returns nil if the shard is full.
func (s *shard) put(now time.Duration, c ident.Caller, k entryKind, node ident.NodeID) (*entry, uint32) {
	e, i := s.find(c)
	if e == nil {
		i = s.allocate(now)
		if i == noIndex {
			return nil, 0
		}
		e = s.at(i)
		s.index[c] = i
	}
	*e = entry{caller: c, kind: k, node: node, lastUsed: uint32(now / tickLength)}
	return e, i
}

// allocate returns the index of a free entry, noIndex if there is none. The oldest freed entry is
// reused after slotReuseDelay; until then a late packet of the target for the former flow would
// reach the caller of the new one.
func (s *shard) allocate(now time.Duration) uint32 {
	if i := s.freeHead; i != noIndex {
		e := s.at(i)
		if now >= time.Duration(e.lastUsed)*tickLength+slotReuseDelay+tickLength {
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

// remove frees the entry and appends it to the list of free entries, which are linked by their node
// field.
func (s *shard) remove(now time.Duration, e *entry, i uint32) {
	delete(s.index, e.caller)
	*e = entry{lastUsed: uint32(now / tickLength), node: ident.NodeID(noIndex)}
	if s.freeTail != noIndex {
		s.at(s.freeTail).node = ident.NodeID(i)
	} else {
		s.freeHead = i
	}
	s.freeTail = i
}

func (e *entry) idleTime(now time.Duration) time.Duration {
	return now - time.Duration(e.lastUsed)*tickLength
}

func shardOf(hash uint64) uint32 { return uint32(hash >> (64 - shardBits)) }

func slotOf(shard, index uint32) uint32 { return index<<shardBits | shard }

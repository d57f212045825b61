package wire

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Limits of the replay check.
const (
	// replayWindowSize is how far a sequence number may lie below the highest one and still be
	// accepted, for datagrams that were reordered.
	replayWindowSize = 4096
	// MaxClockSkew is the largest accepted difference between the sender's clock and the local one.
	MaxClockSkew = 30 * time.Second
	// maxReplaySenders limits the memory of the filter: about 0.6 KB per sender.
	maxReplaySenders = 16384
	replayShards     = 16
)

// ReplayFilter rejects frames that were received before. It is used only for authentic frames, so
// that only nodes of the fleet take memory.
type ReplayFilter struct {
	shards [replayShards]replayShard
}

type replayShard struct {
	mu      sync.Mutex
	senders map[ident.NodeID]*replayWindow
}

// replayWindow is the state of one sender: a bitmap of the sequence numbers up to the highest one.
type replayWindow struct {
	highest    uint64
	lastSeenMs uint64
	seen       [replayWindowSize / 64]uint64
}

// NewReplayFilter returns an empty filter.
func NewReplayFilter() *ReplayFilter {
	r := &ReplayFilter{}
	for i := range r.shards {
		r.shards[i].senders = map[ident.NodeID]*replayWindow{}
	}
	return r
}

// Accept reports whether a frame is new and not out of time, and records it. Times are in
// milliseconds since the epoch.
func (r *ReplayFilter) Accept(sender ident.NodeID, sequence, sentMs, nowMs uint64) bool {
	skewMs := uint64(MaxClockSkew / time.Millisecond)
	if sentMs+skewMs < nowMs || sentMs > nowMs+skewMs {
		return false
	}
	s := &r.shards[uint64(sender)%replayShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.senders[sender]
	if w == nil {
		s.evictIfFull(nowMs, skewMs)
		w = &replayWindow{}
		s.senders[sender] = w
	}
	w.lastSeenMs = nowMs
	return w.accept(sequence)
}

// evictIfFull evicts senders if the shard is full: those that have sent nothing for twice the clock
// skew, whose old frames fail the time check anyway. If there are none, it evicts an arbitrary one.
func (s *replayShard) evictIfFull(nowMs, skewMs uint64) {
	if len(s.senders) < maxReplaySenders/replayShards {
		return
	}
	for id, w := range s.senders {
		if w.lastSeenMs+2*skewMs < nowMs {
			delete(s.senders, id)
		}
	}
	for id := range s.senders {
		if len(s.senders) < maxReplaySenders/replayShards {
			return
		}
		delete(s.senders, id)
	}
}

// accept reports whether a sequence number is new and not below the window, and records it.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence+replayWindowSize <= w.highest {
		return false
	}
	for step := w.highest + 1; step <= sequence; step++ {
		if sequence-w.highest >= replayWindowSize {
			w.seen = [replayWindowSize / 64]uint64{}
			break
		}
		w.clear(step)
	}
	w.highest = max(w.highest, sequence)
	word, bit := sequence%replayWindowSize/64, sequence%64
	if w.seen[word]&(1<<bit) != 0 {
		return false
	}
	w.seen[word] |= 1 << bit
	return true
}

func (w *replayWindow) clear(sequence uint64) {
	w.seen[sequence%replayWindowSize/64] &^= 1 << (sequence % 64)
}

// FirstSequence returns a sequence number above all that earlier processes of the same node used,
// so that frames after a restart are not rejected as replays.
func FirstSequence(start time.Time) uint64 { return uint64(start.UnixMicro()) << 10 }

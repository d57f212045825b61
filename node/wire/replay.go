package wire

import (
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Limits of the replay check.
const (
	// replayWindow is how many sequence numbers below the highest one are still accepted, for datagrams that overtake each other.
	replayWindow = 4096
	// MaxClockSkew is the largest difference between the sender's clock and ours.
	MaxClockSkew = 30 * time.Second
	// maxSenders bounds the memory of the check: about 0.6 KB a sender.
	maxSenders   = 16384
	replayShards = 16
)

// ReplayFilter refuses frames that were seen before. Its frames are authentic already, so only nodes of the fleet take up room.
type ReplayFilter struct {
	shards [replayShards]replayShard
}

type replayShard struct {
	mu      sync.Mutex
	senders map[ident.NodeID]*window
}

type window struct {
	highest uint64
	lastMs  uint64
	seen    [replayWindow / 64]uint64
}

// NewReplayFilter returns an empty check.
func NewReplayFilter() *ReplayFilter {
	r := &ReplayFilter{}
	for i := range r.shards {
		r.shards[i].senders = map[ident.NodeID]*window{}
	}
	return r
}

// Accept tells whether a frame is new, and remembers it. Times are in milliseconds since the epoch.
func (r *ReplayFilter) Accept(sender ident.NodeID, sequence, sentMs, nowMs uint64) bool {
	skew := uint64(MaxClockSkew / time.Millisecond)
	if sentMs+skew < nowMs || sentMs > nowMs+skew {
		return false
	}
	s := &r.shards[uint64(sender)%replayShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.senders[sender]
	if w == nil {
		s.makeRoom(nowMs, skew)
		w = &window{}
		s.senders[sender] = w
	}
	w.lastMs = nowMs
	return w.accept(sequence)
}

// makeRoom drops senders that were silent for longer than the skew, whose old frames fail the time check anyway. If none is
// silent, an arbitrary one goes.
func (s *replayShard) makeRoom(nowMs, skew uint64) {
	if len(s.senders) < maxSenders/replayShards {
		return
	}
	for id, w := range s.senders {
		if w.lastMs+2*skew < nowMs {
			delete(s.senders, id)
		}
	}
	for id := range s.senders {
		if len(s.senders) < maxSenders/replayShards {
			return
		}
		delete(s.senders, id)
	}
}

func (w *window) accept(sequence uint64) bool {
	if sequence+replayWindow <= w.highest {
		return false
	}
	for step := w.highest + 1; step <= sequence; step++ {
		if sequence-w.highest >= replayWindow {
			w.seen = [replayWindow / 64]uint64{}
			break
		}
		w.clear(step)
	}
	w.highest = max(w.highest, sequence)
	word, bit := sequence%replayWindow/64, sequence%64
	if w.seen[word]&(1<<bit) != 0 {
		return false
	}
	w.seen[word] |= 1 << bit
	return true
}

func (w *window) clear(sequence uint64) { w.seen[sequence%replayWindow/64] &^= 1 << (sequence % 64) }

// FirstSequence returns a sequence number above all that earlier processes of the same node used, so that a restart is not
// taken for a replay.
func FirstSequence(start time.Time) uint64 { return uint64(start.UnixMicro()) << 10 }

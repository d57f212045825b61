// Package holding keeps packets for a short time: those for which no decision is possible yet, because a node that has just started doesn't know all
// others, and those of new flows for which no target has room. Callers send an unanswered packet again after ever longer pauses, so that a packet
// that is dropped shortly before the decision costs them a second.
//
// The latest packets are decided first. After an outage or in a burst, those that waited longest are late in any case, and serving them first makes
// all others late as well.
package holding

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/steering"
)

const (
	// MaxHoldTime is how long a packet is kept. Nodes that start together know each other within this time.
	MaxHoldTime = time.Second
	// RetryInterval is the interval in which decisions are tried again.
	RetryInterval = 25 * time.Millisecond
	// limit bounds the flows of which a packet is kept, at about 1 KB each.
	limit = 4096
)

// Item is one packet of a flow.
type Item[T any] struct {
	Flow            steering.Flow
	Arrived         time.Duration // when the packet arrived
	HoldTime        time.Duration // how long to keep it, MaxHoldTime at most; 0 is MaxHoldTime
	NoCapacitySince time.Duration // when it was first kept because no target had room, 0 if it was not
	Value           T
}

// MarkNoCapacity notes that no target has room for the packet's flow.
func (i *Item[T]) MarkNoCapacity(now time.Duration) {
	if i.NoCapacitySince == 0 {
		i.NoCapacitySince = now
	}
}

// CapacityWait returns how long the packet has waited for a target with room. Time that it waited for something else, such as the routes, says nothing
// about the loads.
func (i *Item[T]) CapacityWait(now time.Duration) time.Duration {
	if i.NoCapacitySince == 0 {
		return 0
	}
	return now - i.NoCapacitySince
}

// Queue holds at most one packet a flow. Its methods may be called from any goroutine.
type Queue[T any] struct {
	mu      sync.Mutex
	items   map[steering.Flow]Item[T]
	waiting chan struct{} // receives when the first packet is kept
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{items: map[steering.Flow]Item[T]{}, waiting: make(chan struct{}, 1)}
}

// NonEmpty returns a channel that receives once packets are kept, so that nobody has to look into an empty queue.
func (q *Queue[T]) NonEmpty() <-chan struct{} { return q.waiting }

// Put keeps a packet, unless one of its flow is kept: copies don't make a caller younger. It returns false if the packet is too old or there are too
// many.
func (q *Queue[T]) Put(now time.Duration, item Item[T]) bool {
	if now-item.Arrived > MaxHoldTime || item.HoldTime > 0 && now-item.Arrived > item.HoldTime {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	held, ok := q.items[item.Flow]
	if ok {
		held.Arrived = min(held.Arrived, item.Arrived)
		if held.NoCapacitySince == 0 {
			held.NoCapacitySince = item.NoCapacitySince
		}
		q.items[item.Flow] = held
		return true
	}
	if len(q.items) >= limit {
		return false
	}
	q.items[item.Flow] = item
	select {
	case q.waiting <- struct{}{}:
	default:
	}
	return true
}

// Len returns the number of packets that are kept.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// Take removes and returns all packets, to be decided again, the latest first: the callers of the oldest are late in any case.
func (q *Queue[T]) Take() []Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil
	}
	all := make([]Item[T], 0, len(q.items))
	for _, item := range q.items {
		all = append(all, item)
	}
	clear(q.items)
	slices.SortFunc(all, func(a, b Item[T]) int { return cmp.Compare(b.Arrived, a.Arrived) })
	return all
}

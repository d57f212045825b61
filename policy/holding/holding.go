// Package holding implements the hold queue, which keeps packets for a short time: those that a
// newly started node can't decide on before it has the complete list of nodes, and those of new
// flows for which no target has capacity. Callers send an unanswered packet again at ever longer
// intervals, so that a packet dropped shortly before the decision delays them by a second.
//
// The latest packets are decided first. After an outage or in a burst, those that have waited
// longest are late in any case, and serving them first would make all others late as well. Where the
// routes of a service differ in priority, package admission ranks the flows; the latest come first
// within a rank.
package holding

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/steering"
)

const (
	// MaxHoldTime is the longest time that a packet is kept. Nodes that start together have
	// discovered each other within this time.
	MaxHoldTime = time.Second
	// RetryInterval is the interval at which the decision on held packets is retried.
	RetryInterval = 25 * time.Millisecond
	// maxItems bounds the flows of which a packet is kept, at about 1 KB each.
	maxItems = 4096
)

// Item is one packet of a flow.
type Item[T any] struct {
	Flow            steering.Flow
	Arrived         time.Duration // when the packet arrived
	HoldTime        time.Duration // how long to keep the packet, at most MaxHoldTime; 0 stands for MaxHoldTime
	NoCapacitySince time.Duration // when the packet was first kept for lack of target capacity; 0 if it was not
	Rank            Rank
	// Data is set if the packet carries bytes of the connection. It then replaces a kept packet of the flow without any.
	Data  bool
	Value T
}

// Rank is the place of a new flow among those that compete for targets. The zero value is that of all
// other packets.
type Rank struct {
	Order    int // lower ones are decided first; 0 for packets that don't compete
	Priority int // of the route
	Service  string
}

// MarkNoCapacity records that no target has capacity for the packet's flow.
func (i *Item[T]) MarkNoCapacity(now time.Duration) {
	if i.NoCapacitySince == 0 {
		i.NoCapacitySince = now
	}
}

// CapacityWait returns how long the packet has waited for a target with capacity. Time spent
// waiting for something else, such as the routes, doesn't count, because it doesn't show that
// targets are full.
func (i *Item[T]) CapacityWait(now time.Duration) time.Duration {
	if i.NoCapacitySince == 0 {
		return 0
	}
	return now - i.NoCapacitySince
}

// Queue holds at most one packet per flow. Its methods are safe for concurrent use.
type Queue[T any] struct {
	mu       sync.Mutex
	items    map[steering.Flow]Item[T]
	waiting  map[Rank]int  // of the flows that compete
	nonEmpty chan struct{} // receives when the first packet is kept
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{items: map[steering.Flow]Item[T]{}, waiting: map[Rank]int{}, nonEmpty: make(chan struct{}, 1)}
}

// NonEmpty returns a channel that receives once packets are kept, so that an empty queue needs no
// polling.
func (q *Queue[T]) NonEmpty() <-chan struct{} { return q.nonEmpty }

// Put keeps a packet. If a packet of its flow is already kept, that one stays unless only the new one has data, with the earlier of
// the two arrival times: a retransmission must not make a flow look newer. Put returns false if the
// packet is too old or the queue is full.
func (q *Queue[T]) Put(now time.Duration, item Item[T]) bool {
	if now-item.Arrived > MaxHoldTime || item.HoldTime > 0 && now-item.Arrived > item.HoldTime {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	existing, ok := q.items[item.Flow]
	if ok {
		existing.Arrived = min(existing.Arrived, item.Arrived)
		if existing.NoCapacitySince == 0 {
			existing.NoCapacitySince = item.NoCapacitySince
		}
		if item.Data && !existing.Data {
			existing.Data, existing.Value = true, item.Value
		}
		q.items[item.Flow] = existing
		return true
	}
	if len(q.items) >= maxItems {
		return false
	}
	q.items[item.Flow] = item
	if item.Rank.Order > 0 {
		q.waiting[item.Rank]++
	}
	select {
	case q.nonEmpty <- struct{}{}:
	default:
	}
	return true
}

// Len returns the number of packets in the queue.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// TakeFlow removes and returns the packet of a flow, for a decision before the next retry.
func (q *Queue[T]) TakeFlow(flow steering.Flow) (Item[T], bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	item, ok := q.items[flow]
	delete(q.items, flow)
	if ok && item.Rank.Order > 0 {
		if q.waiting[item.Rank]--; q.waiting[item.Rank] == 0 {
			delete(q.waiting, item.Rank)
		}
	}
	return item, ok
}

// Waiting returns the numbers of flows that compete for targets, by rank.
func (q *Queue[T]) Waiting() map[Rank]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.waiting)
}

// Take removes and returns all packets, in the order of their ranks. Within a rank the latest comes
// first, because the oldest are late in any case.
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
	clear(q.waiting)
	slices.SortFunc(all, func(a, b Item[T]) int {
		return cmp.Or(cmp.Compare(a.Rank.Order, b.Rank.Order), cmp.Compare(b.Arrived, a.Arrived),
			cmp.Compare(a.Flow.CallerPort, b.Flow.CallerPort)) // and not the order of the map
	})
	return all
}

package fabric

import (
	"container/heap"
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxQueuedDatagrams limits the datagrams in one queue.
	maxQueuedDatagrams = 100_000
	// maxSleep limits one sleep, because a datagram that is due earlier may be added meanwhile.
	maxSleep = 200 * time.Microsecond
	// pooledBufferSize is the capacity in bytes of pooled buffers. Buffers of larger datagrams are
	// not pooled.
	pooledBufferSize = 2048
)

// sender sends a datagram. An implementation with several addresses uses from as the source.
type sender interface {
	send(b []byte, from netip.Addr, to netip.AddrPort)
}

// delayedDatagram is a datagram that is queued until it is due.
type delayedDatagram struct {
	due   int64  // nanoseconds since the epoch
	order uint64 // breaks ties of due
	data  []byte
	out   sender
	from  netip.Addr
	to    netip.AddrPort
}

// datagramHeap orders datagrams by due time. It implements heap.Interface.
type datagramHeap []*delayedDatagram

func (q datagramHeap) Len() int { return len(q) }
func (q datagramHeap) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].order < q[j].order
}
func (q datagramHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *datagramHeap) Push(x any) { *q = append(*q, x.(*delayedDatagram)) }

// Pop implements heap.Interface.
func (q *datagramHeap) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return x
}

var datagramPool = sync.Pool{New: func() any { return &delayedDatagram{data: make([]byte, 0, pooledBufferSize)} }}

// queue sends datagrams when they are due. It sleeps with nanosleep and not with a Go timer: in an
// idle process a Go timer has a resolution of 1 ms, which is as long as the links' delays.
type queue struct {
	mu    sync.Mutex
	heap  datagramHeap
	order uint64
	added chan struct{} // has an element when the heap may have become non-empty
}

func newQueue() *queue { return &queue{added: make(chan struct{}, 1)} }

// add queues a copy of the datagram. It returns false if the queue is full.
func (q *queue) add(due time.Time, b []byte, out sender, from netip.Addr, to netip.AddrPort) bool {
	p := datagramPool.Get().(*delayedDatagram)
	p.due, p.out, p.from, p.to = due.UnixNano(), out, from, to
	p.data = append(p.data[:0], b...)
	q.mu.Lock()
	full := len(q.heap) >= maxQueuedDatagrams
	if !full {
		q.order++
		p.order = q.order
		heap.Push(&q.heap, p)
	}
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
	return !full
}

// run sends due datagrams until the context ends.
func (q *queue) run(ctx context.Context) {
	for ctx.Err() == nil {
		p, wait := q.next(time.Now().UnixNano())
		switch {
		case p != nil:
			p.out.send(p.data, p.from, p.to)
			if cap(p.data) == pooledBufferSize {
				datagramPool.Put(p)
			}
		case wait > 0:
			ts := unix.NsecToTimespec(int64(min(wait, maxSleep)))
			_ = unix.Nanosleep(&ts, nil)
		default:
			select {
			case <-q.added:
			case <-ctx.Done():
			}
		}
	}
}

// next returns the first datagram if it is due at now, in nanoseconds since the epoch. Otherwise it
// returns the time until the first datagram is due, or 0 if the queue is empty.
func (q *queue) next(now int64) (*delayedDatagram, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) == 0 {
		return nil, 0
	}
	if wait := q.heap[0].due - now; wait > 0 {
		return nil, time.Duration(wait)
	}
	return heap.Pop(&q.heap).(*delayedDatagram), 0
}

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
	// maxQueued bounds the datagrams that one queue holds back.
	maxQueued = 100_000
	// sliceLimit bounds one sleep, because a datagram that is due earlier may be added meanwhile.
	sliceLimit = 200 * time.Microsecond
	// classSize is the size of pooled buffers; larger datagrams get their own.
	classSize = 2048
)

// sender sends a datagram from one of its addresses.
type sender interface {
	send(b []byte, from netip.Addr, to netip.AddrPort)
}

// parcel is one datagram that is held back until it is due.
type parcel struct {
	due   int64 // nanoseconds since the epoch
	order uint64
	data  []byte
	out   sender
	from  netip.Addr
	to    netip.AddrPort
}

type parcels []*parcel

func (q parcels) Len() int { return len(q) }
func (q parcels) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].order < q[j].order
}
func (q parcels) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *parcels) Push(x any) { *q = append(*q, x.(*parcel)) }

// Pop is part of heap.Interface.
func (q *parcels) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return x
}

var parcelPool = sync.Pool{New: func() any { return &parcel{data: make([]byte, 0, classSize)} }}

// queue sends parcels when they are due. It sleeps in the kernel and not on a Go timer, whose resolution in an idle process
// is 1 ms, as long as the links' delays themselves.
type queue struct {
	mu    sync.Mutex
	heap  parcels
	order uint64
	added chan struct{} // holds an element when the heap may have become non-empty
}

func newQueue() *queue { return &queue{added: make(chan struct{}, 1)} }

// add copies the datagram. It returns false if the queue is full.
func (q *queue) add(due time.Time, b []byte, out sender, from netip.Addr, to netip.AddrPort) bool {
	p := parcelPool.Get().(*parcel)
	p.due, p.out, p.from, p.to = due.UnixNano(), out, from, to
	p.data = append(p.data[:0], b...)
	q.mu.Lock()
	full := len(q.heap) >= maxQueued
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

// run sends until the context ends.
func (q *queue) run(ctx context.Context) {
	for ctx.Err() == nil {
		p, wait := q.next(time.Now().UnixNano())
		switch {
		case p != nil:
			p.out.send(p.data, p.from, p.to)
			if cap(p.data) == classSize {
				parcelPool.Put(p)
			}
		case wait > 0:
			ts := unix.NsecToTimespec(int64(min(wait, sliceLimit)))
			_ = unix.Nanosleep(&ts, nil)
		default:
			select {
			case <-q.added:
			case <-ctx.Done():
			}
		}
	}
}

// next returns the parcel that is due, or else how long the first one has to wait: 0 if there is none.
func (q *queue) next(now int64) (*parcel, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) == 0 {
		return nil, 0
	}
	if wait := q.heap[0].due - now; wait > 0 {
		return nil, time.Duration(wait)
	}
	return heap.Pop(&q.heap).(*parcel), 0
}

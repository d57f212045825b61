package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueBytes bounds the buffered lines. Lines beyond it are dropped and counted.
	queueBytes = 256 << 10
	// flushInterval is the delay during which lines are collected, so that one write carries many.
	flushInterval = 100 * time.Millisecond
)

// Queue is a writer that never blocks: a goroutine of its own writes the lines, and lines are
// dropped when the reader of the log falls behind.
type Queue struct {
	out io.Writer

	mu       sync.Mutex
	buffer   bytes.Buffer
	skipped  int
	flushDue bool // a flush is scheduled or running
	flushing bool // a flush is running
	closed   bool
	idle     *sync.Cond // signalled when a flush ends or Close times out
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out}
	q.idle = sync.NewCond(&q.mu)
	return q
}

// Write queues one line. It always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.buffer.Len()+len(line) > queueBytes {
		q.skipped++
		return len(line), nil
	}
	q.buffer.Write(line)
	if !q.flushDue {
		q.flushDue = true
		time.AfterFunc(flushInterval, q.flush)
	}
	return len(line), nil
}

// Skipped returns how many lines were dropped since the last flush that reported them.
func (q *Queue) Skipped() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.skipped
}

// flush writes the buffered lines, outside of the lock.
func (q *Queue) flush() {
	q.mu.Lock()
	if q.flushing {
		q.mu.Unlock()
		return // the running flush writes these lines as well
	}
	q.flushing = true
	for q.buffer.Len() > 0 {
		if q.skipped > 0 {
			fmt.Fprintf(&q.buffer, "level=warn msg=\"log lines left out\" count=%d\n", q.skipped)
			q.skipped = 0
		}
		lines := bytes.Clone(q.buffer.Bytes())
		q.buffer.Reset()
		q.mu.Unlock()
		_, _ = q.out.Write(lines) // a failure to write the log cannot be reported anywhere else
		q.mu.Lock()
	}
	q.flushDue, q.flushing = false, false
	q.idle.Broadcast()
	q.mu.Unlock()
}

// Close writes the buffered lines, for at most the timeout, and closes the queue.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	if q.flushDue {
		go q.flush()
	}
	expired := false
	timer := time.AfterFunc(timeout, func() {
		q.mu.Lock()
		expired = true
		q.idle.Broadcast()
		q.mu.Unlock()
	})
	for q.flushDue && !expired {
		q.idle.Wait()
	}
	q.mu.Unlock()
	timer.Stop()
}

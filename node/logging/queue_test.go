package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/logging"
)

// blocked is a log reader that has stopped reading until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Guards against a log reader that stops packets, and against a log that grows without bound behind it.
func TestBlockedReaderStopsNothing(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	q := logging.NewQueue(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	started := time.Now()
	for range 20_000 {
		_, err := q.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) < 2*time.Second)
	assert.Assert(t, q.Skipped() > 10_000)
	close(out.release)
	q.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, out.got.Len() < 600<<10, "%d bytes", out.got.Len())
	assert.Assert(t, strings.Contains(out.got.String(), "log lines left out"))
}

// Guards against the last lines of a process being lost, which tell why it ended.
func TestCloseWritesWhatWaits(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	close(out.release)
	q := logging.NewQueue(out)
	_, _ = q.Write([]byte("last\n"))
	q.Close(time.Second)
	assert.Equal(t, out.got.String(), "last\n")
}

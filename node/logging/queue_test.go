package logging_test

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/logging"
)

// blockedReader is a log reader that does not read until it is released.
type blockedReader struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (b *blockedReader) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Guards against a log reader that blocks the data path, and against a buffer that grows without
// limit. The pause lets a flush begin and block between the two batches, as on a slow machine. The
// flush reports the lines dropped so far, so Skipped no longer counts them.
func TestBlockedReaderDoesNotBlockWriters(t *testing.T) {
	out := &blockedReader{release: make(chan struct{})}
	q := logging.NewQueue(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	var writing time.Duration
	for _, lines := range []int{12_000, 8_000} {
		started := time.Now()
		for range lines {
			_, err := q.Write(line)
			assert.NilError(t, err)
		}
		writing += time.Since(started)
		time.Sleep(150 * time.Millisecond)
	}
	assert.Assert(t, writing < 2*time.Second)
	close(out.release)
	q.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, out.got.Len() < 600<<10, "%d bytes", out.got.Len())
	leftOut := 0
	for _, match := range regexp.MustCompile(`"log lines left out" count=(\d+)`).FindAllStringSubmatch(out.got.String(), -1) {
		n, err := strconv.Atoi(match[1])
		assert.NilError(t, err)
		leftOut += n
	}
	assert.Assert(t, leftOut > 10_000, "%d lines", leftOut)
	assert.Equal(t, leftOut+strings.Count(out.got.String(), "xxx\n"), 20_000, "each line must be written or counted")
}

// Guards against the loss of the last lines of a process, which give the reason for its end.
func TestCloseWritesBufferedLines(t *testing.T) {
	out := &blockedReader{release: make(chan struct{})}
	close(out.release)
	q := logging.NewQueue(out)
	_, _ = q.Write([]byte("last\n"))
	q.Close(time.Second)
	assert.Equal(t, out.got.String(), "last\n")
}

// Package logging provides the structured logger, the rate-limited decision log and a non-blocking
// log writer.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Keys of log lines.
const (
	KeyAge      = "age"
	KeyCaller   = "caller"
	KeyDecision = "decision"
	KeyEra      = "era"
	KeyError    = "err"
	KeyHome     = "home"
	KeyMessage  = "msg"
	KeyNode     = "node"
	KeyFlow     = "flow"
	KeyOwner    = "owner"
	KeyPeer     = "peer"
	KeyReason   = "reason"
	KeyRequest  = "request"
	KeyRevision = "revision"
	KeyService  = "service"
	KeyState    = "state"
	KeySkipped  = "skipped"
	KeyTarget   = "target"
	KeyTime     = "ts"
	KeyVersion  = "version"
)

// decisionsPerSecond is the default limit of a decision log, so that logging cannot become the main
// load of a process.
const decisionsPerSecond = 200

// New returns a logfmt logger that drops lines below minLevel (debug, info, warn, error; info if
// empty).
func New(w io.Writer, node, minLevel string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, KeyTime, log.DefaultTimestampUTC, KeyNode, node)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}

// Decisions logs routing and placement decisions up to a limit of lines per second. The first line
// after skipped ones has their number.
type Decisions struct {
	logger log.Logger
	now    func() time.Time
	limit  int // lines per second

	mu      sync.Mutex
	second  int64
	lines   int
	skipped uint64
}

// NewDecisions returns a decision log with the default limit.
func NewDecisions(logger log.Logger) *Decisions {
	return NewDecisionsWithLimit(logger, decisionsPerSecond)
}

// NewDecisionsWithLimit returns a decision log of at most limit lines per second. A program that
// keeps a separate log for unusual decisions does not lose them among the usual ones.
func NewDecisionsWithLimit(logger log.Logger, limit int) *Decisions {
	return &Decisions{logger: logger, now: time.Now, limit: limit}
}

// Allow reports whether a line may be written now, and counts it. Callers check it before they
// build the line, so that a skipped line costs little.
func (d *Decisions) Allow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if second := d.now().Unix(); second != d.second {
		d.second, d.lines = second, 0
	}
	if d.lines >= d.limit {
		d.skipped++
		return false
	}
	d.lines++
	return true
}

// Log writes a line that Allow has permitted.
func (d *Decisions) Log(decision string, keyvals ...any) {
	d.mu.Lock()
	skipped := d.skipped
	d.skipped = 0
	d.mu.Unlock()
	line := append([]any{KeyDecision, decision}, keyvals...)
	if skipped > 0 {
		line = append(line, KeySkipped, skipped)
	}
	_ = level.Info(d.logger).Log(line...)
}

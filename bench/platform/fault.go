package platform

import (
	"sync"
	"time"
)

// Faults are the faults that the stand-in produces. The zero value is none.
type Faults struct {
	Outage       bool    `json:"outage"`         // every call is answered 503, waiting watches included
	DelayMs      int     `json:"delay_ms"`       // before each call
	LoseAnswers  float64 `json:"lose_answers"`   // fraction of writes that take effect and whose connection is then closed
	LoseNext     int     `json:"lose_next"`      // number of writes whose answers are lost, counted down
	StaleReadsMs int     `json:"stale_reads_ms"` // get and list answer with the state of this long ago
	StaleWatchMs int     `json:"stale_watch_ms"` // watches learn of a change this late
}

// Limits are the rates that the stand-in admits, in calls per second. A call above them is answered 429.
type Limits struct {
	Writes float64 `yaml:"writes"`
	Reads  float64 `yaml:"reads"` // get, list and watch
}

// DefaultLimits are those of the platform's store.
var DefaultLimits = Limits{Writes: 500, Reads: 2000}

func milliseconds(n int) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }

// bucket is a token bucket that holds the tokens of a fifth of a second.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

const burst = 0.2 // seconds of the rate

func newBucket(rate float64) *bucket {
	return &bucket{rate: rate, tokens: max(rate*burst, 1), last: time.Now()}
}

func (b *bucket) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.last).Seconds()*b.rate, max(b.rate*burst, 1))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

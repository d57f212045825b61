package platform

import (
	"sync"
	"time"
)

// Faults are the faults that the server injects. The zero value injects none.
type Faults struct {
	Outage            bool    `json:"outage"`         // every call fails with 503, including watches in progress
	DelayMs           int     `json:"delay_ms"`       // delay before each call
	ResponseLoss      float64 `json:"lose_answers"`   // fraction of applied writes whose connection is closed without a response
	LoseNextResponses int     `json:"lose_next"`      // number of next writes whose responses are lost
	StaleReadsMs      int     `json:"stale_reads_ms"` // get and list return the state of this long ago
	StaleWatchMs      int     `json:"stale_watch_ms"` // watches return changes with this delay
}

// Limits are the rate limits of the server in calls per second. Calls above them fail with 429.
type Limits struct {
	Writes float64 `yaml:"writes"`
	Reads  float64 `yaml:"reads"` // get, list and watch
}

// DefaultLimits are the rate limits of the platform's store.
var DefaultLimits = Limits{Writes: 500, Reads: 2000}

func milliseconds(n int) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }

// tokenBucket is a token bucket. Its capacity is the tokens of burstSeconds, a fifth of a second,
// but at least one token.
type tokenBucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

const burstSeconds = 0.2

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: max(rate*burstSeconds, 1), last: time.Now()}
}

func (b *tokenBucket) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.last).Seconds()*b.rate, max(b.rate*burstSeconds, 1))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

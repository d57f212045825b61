// Package timing provides the pauses and periods of background work. All of them end with a
// context.
package timing

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d, and returns false if the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls run at once and then once per period, until the context ends. It returns nil.
func Every(ctx context.Context, period time.Duration, run func(time.Time)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		run(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Jitter returns a duration between 0.5 and 1.5 times d, so that nodes that started or failed
// together do not stay in step.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

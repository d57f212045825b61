// Package timing has the pauses and periods of the programs' background work. All end with a context.
package timing

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits, and returns false if the context ended first.
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

// Every runs do at once and then once a period, until the context ends. It returns nil.
func Every(ctx context.Context, period time.Duration, do func(time.Time)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		do(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Jitter returns a duration between half and one and a half times d, so that nodes that started or failed together don't stay in step.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

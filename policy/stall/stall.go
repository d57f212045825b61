// Package stall tells a process that was frozen, or got no processor time, from one that ran all the
// while. Others that seem silent after such a stall may have sent what is still unread.
package stall

import "time"

const (
	// RecordInterval is the interval at which a process records that it is running.
	RecordInterval = 200 * time.Millisecond
	// maxPause is the pause between two records above which the process has been stalled.
	maxPause = 500 * time.Millisecond
	// settlingTime is the time after a stall within which a process reads what others have sent
	// meanwhile, and hears again from those whose messages were dropped.
	settlingTime = 1500 * time.Millisecond
)

// Detector finds stalls of the process. Times must come from a clock that counts suspension. The zero
// value has found none. It is not safe for concurrent use; copies keep what was found.
type Detector struct {
	lastRecord time.Duration // 0 before the first
	settledAt  time.Duration
}

// Record records that the process is running. It returns the pause since the last record if the process
// has been stalled, else 0.
func (d *Detector) Record(now time.Duration) (pause time.Duration) {
	if d.isLate(now) {
		pause = now - d.lastRecord
		d.settledAt = now + settlingTime
	}
	d.lastRecord = now
	return pause
}

// Settled reports whether the silence of others is theirs: the process has not been stalled recently.
func (d *Detector) Settled(now time.Duration) bool { return !d.isLate(now) && now >= d.settledAt }

func (d *Detector) isLate(now time.Duration) bool {
	return d.lastRecord != 0 && now-d.lastRecord > maxPause
}

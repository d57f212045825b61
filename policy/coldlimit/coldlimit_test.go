package coldlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/coldlimit"
)

// Guards against a cold target that gets more requests in a second than it bears, at any demand and whatever the
// flows that were admitted go on to send, and against one that gets none.
func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
	for _, perFlow := range []time.Duration{0, time.Second, 400 * time.Millisecond} { // interval of the requests of a flow
		limits := coldlimit.Limits{PerSecond: 20, For: 4 * time.Second}
		var l coldlimit.Limiter
		l.RecordCold(0)
		var requests []time.Duration
		due := map[time.Duration]int{}
		for now := time.Duration(0); now < limits.For; now += time.Millisecond {
			if l.Admit(now, limits, false) { // a caller comes each millisecond
				due[now+10*time.Millisecond]++
			}
			for range due[now] {
				l.RecordRequest(now)
				requests = append(requests, now)
				if perFlow > 0 {
					due[now+perFlow]++
				}
			}
		}
		assert.Assert(t, len(requests) > 30, "%v: %d requests", perFlow, len(requests))
		for i, at := range requests {
			count := 0
			for _, other := range requests[i:] {
				if other-at < time.Second {
					count++
				}
			}
			assert.Assert(t, count <= 20*3/2+5, "%v: %d requests in the second from %v", perFlow, count, at)
		}
	}
}

// Guards against limits for targets that are not cold, and against a withdrawal that is forgotten because the target
// started earlier.
func TestOnlyColdTargetsAreLimited(t *testing.T) {
	limits := coldlimit.Limits{PerSecond: 1, For: 2 * time.Second}
	var l coldlimit.Limiter
	admits := func(now time.Duration, limits coldlimit.Limits, warmingUp bool) bool {
		l.Admit(now, limits, warmingUp)
		return l.Admit(now, limits, warmingUp)
	}
	assert.Assert(t, admits(0, limits, false))
	assert.Assert(t, !admits(time.Second, limits, true))
	l.RecordCold(10 * time.Second)
	l.RecordCold(5 * time.Second)
	assert.Assert(t, !admits(11*time.Second, limits, false))
	assert.Assert(t, admits(12*time.Second, limits, false))
	assert.Assert(t, !admits(13*time.Second, coldlimit.Limits{PerSecond: 1}, false), "cold for an unknown time")
	assert.Assert(t, admits(11*time.Second, coldlimit.Limits{}, true), "no limit is set")
}

package inflight_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/steering"
)

const ms = time.Millisecond

// warmTable returns a table of a target with 2 slots that has answered 40 requests within 20 ms each, and the time.
func warmTable() (*inflight.Table, time.Duration) {
	table, now := inflight.New(), time.Second
	for i := range uint32(40) {
		table.SetPool(now, 2, 20*ms)
		begin(table, now, 1, i+1)
		table.RecordSent(now+20*ms, steering.Flow{CallerPort: 1}, data)
		now += 25 * ms
	}
	return table, now
}

func begin(table *inflight.Table, now time.Duration, port uint16, sequence uint32) {
	table.RecordDelivered(now, steering.Flow{CallerPort: port},
		inflight.Event{Data: true, Sequence: sequence, Objective: 300 * ms})
}

// check advances a table as an agent does.
func check(table *inflight.Table, from, to time.Duration) inflight.Load {
	for ; from < to; from += 50 * ms {
		table.SetPool(from, 2, 20*ms)
		table.Load(from)
	}
	return table.Load(to)
}

// Guards against load that looks like a slow target: requests wait for a slot there.
func TestWaitingIsNoSlowdown(t *testing.T) {
	table, now := warmTable()
	for port := range uint16(10) { // all at once; two are served at a time
		begin(table, now, 10+port, 1)
	}
	for port := range uint16(10) {
		table.RecordSent(now+time.Duration(port/2+1)*20*ms, steering.Flow{CallerPort: 10 + port}, data)
	}
	load := table.Load(now + 100*ms)
	assert.Assert(t, load.Slowdown >= 19*ms && load.Slowdown < 22*ms, "%v", load.Slowdown)
}

// Guards against hanging requests that are noticed only after their callers' time limits, and against a target that has
// recovered from them and gets no flows.
func TestHangingRequestsShowEarly(t *testing.T) {
	table, now := warmTable()
	for port := range uint16(8) {
		begin(table, now+time.Duration(port)*25*ms, 10+port, 1)
		begin(table, now+time.Duration(port)*25*ms+200*ms, 10+port, 1) // a retransmission
	}
	load := check(table, now, now+600*ms)
	assert.Check(t, load.Failing == 1 && load.Slowdown > 45*ms && load.Busy > 7, "%+v", load)
	for port := range uint16(8) { // callers give up
		table.RecordDelivered(now+1200*ms, steering.Flow{CallerPort: 10 + port}, inflight.Event{Resets: true})
	}
	for at := now + 1200*ms; at < now+6*time.Second; at += 100 * ms {
		begin(table, at, 1, uint32(at/ms))
		table.RecordSent(at+20*ms, steering.Flow{CallerPort: 1}, data)
		check(table, at, at+100*ms)
	}
	load = table.Load(now + 6*time.Second)
	assert.Check(t, load.Failing == 0 && load.Slowdown < 60*ms, "%+v", load)
}

// Guards against healthy targets that are judged because of long requests, slow callers or a stall of their agent.
func TestWhatIsNotHanging(t *testing.T) {
	for name, run := range map[string]func(table *inflight.Table, now time.Duration) time.Duration{
		"slow downloads and idle flows": func(table *inflight.Table, now time.Duration) time.Duration {
			for port := range uint16(8) {
				begin(table, now, 10+port, 1)
				table.RecordSent(now+5*ms, steering.Flow{CallerPort: 10 + port}, data) // the rest takes seconds
			}
			return now + 2*time.Second
		},
		"slow upload": func(table *inflight.Table, now time.Duration) time.Duration {
			for i := range uint32(20) {
				for port := range uint16(8) {
					begin(table, now, 10+port, 1+i)
				}
				check(table, now, now+100*ms)
				now += 100 * ms
			}
			return now
		},
		"one long request": func(table *inflight.Table, now time.Duration) time.Duration {
			begin(table, now, 10, 1)
			return now + 1900*ms
		},
		"stalled agent": func(table *inflight.Table, now time.Duration) time.Duration {
			for port := range uint16(8) {
				begin(table, now, 10+port, 1)
			}
			table.SetPool(now+2*time.Second, 2, 20*ms)
			return now + 2*time.Second
		},
		"callers that give up early": func(table *inflight.Table, now time.Duration) time.Duration {
			for port := range uint16(8) {
				begin(table, now, 10+port, 1)
				table.RecordDelivered(now+100*ms, steering.Flow{CallerPort: 10 + port}, inflight.Event{Resets: true})
			}
			return now + time.Second
		},
	} {
		table, now := warmTable()
		end := run(table, now)
		load := table.Load(end)
		if name != "stalled agent" && name != "slow upload" {
			load = check(table, now+100*ms, end)
		}
		assert.Check(t, load.Failing == 0 && load.Slowdown < 60*ms, "%s: %+v", name, load)
	}
}

// Guards against a target that answers no opening packet and looks idle.
func TestUnansweredOpeningsShow(t *testing.T) {
	table := inflight.New()
	for port := range uint16(4) {
		table.RecordOpening(time.Second, steering.Flow{CallerPort: port})
	}
	table.RecordSent(time.Second+ms, steering.Flow{CallerPort: 3}, inflight.Event{}) // accepted
	assert.Equal(t, table.Load(time.Second+400*ms).Failing, 0.0)
	assert.Equal(t, table.Load(time.Second+600*ms).Failing, 1.0)
}

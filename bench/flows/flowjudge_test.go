package flows_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/bench/flows"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/steering"
)

// holder is a target that holds all flows until it has ended.
type holder struct {
	id    string
	ended bool
}

func (h *holder) ID() string               { return h.id }
func (h *holder) Holds(steering.Flow) bool { return !h.ended }

// Guards against misdirected flows that the judge misses, and sound ones that it reports.
func TestFlowJudge(t *testing.T) {
	ms := func(n ...int) (times []time.Duration) {
		for _, n := range n {
			times = append(times, time.Duration(n)*time.Millisecond)
		}
		return times
	}
	for name, c := range map[string]struct {
		others []time.Duration // when two other targets receive a packet
		own    time.Duration   // when the holder does, 0 for never
		ends   time.Duration   // when the holder ends, 0 for never
		want   int
	}{
		"never its own":          {others: ms(0, 200, 600, 1400), want: 1},
		"its own too late":       {others: ms(0, 200, 600, 1400, 3000), own: 3001 * time.Millisecond, want: 1},
		"its own in time":        {others: ms(0, 200, 600, 1400), own: 1401 * time.Millisecond},
		"later packets only":     {others: ms(0, 3000, 3200, 3600, 4400), want: 1},
		"two packets":            {others: ms(0, 200)},
		"three, too far apart":   {others: ms(0, 1100, 2200)},
		"the holder has ended":   {others: ms(0, 200, 600, 1400), ends: time.Second},
		"one violation a window": {others: ms(0, 200, 600, 700, 800, 900, 1400, 2500, 2600, 2700), want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var found []flows.Misdirection
				j := flows.NewFlowJudge(func(m flows.Misdirection) { found = append(found, m) })
				own := &holder{id: "own"}
				j.RecordPacket(platformtest.ReceivedPacket{Target: own, Held: true})
				time.Sleep(time.Minute)
				for i, at := range c.others {
					time.AfterFunc(at, func() {
						for _, other := range []*holder{{id: "other"}, {id: "another"}} {
							j.RecordPacket(platformtest.ReceivedPacket{Target: other, Data: fmt.Sprint(i)})
						}
					})
				}
				if c.own > 0 {
					time.AfterFunc(c.own, func() { j.RecordPacket(platformtest.ReceivedPacket{Target: own, Held: true}) })
				}
				if c.ends > 0 {
					time.AfterFunc(c.ends, func() { own.ended = true })
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Equal(t, len(found), c.want, "%v", found)
			})
		})
	}
}

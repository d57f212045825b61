package packetagent

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/targetstate"
)

// Guards against an operator who can't see why a target gets no flows, and heartbeats that don't tell it.
func TestJudgementIsReported(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := newTestAgent(t, store)
	var logs bytes.Buffer
	a.logger = log.NewLogfmtLogger(&logs)
	assert.NilError(t, a.HandleHeartbeat(targetstate.Report{ID: "t", Service: "a", StartUnixMs: 1, Slots: 2}, targetAddress))
	now := fleet.Now()
	for i := range 3 {
		name := fmt.Sprint("other-", i)
		a.fleet.Roster.RecordHeartbeat(now, roster.Node{ID: ident.NewNodeID(name), Name: name, Incarnation: 1},
			roster.Heartbeat{Sequence: 1, Target: roster.Target{Service: "a", ID: name, Accepting: true, Slots: 2, Slowdown: 20 * time.Millisecond}})
	}
	a.judgeTarget(now)
	a.checkTarget(now)
	for i := range uint16(8) {
		a.flows.RecordDelivered(now-2*time.Second, steering.Flow{CallerPort: i}, inflight.Event{Data: true, Sequence: 1})
	}
	a.judgeTarget(now)
	assert.Equal(t, a.outlierValue(), 1.0)
	assert.Equal(t, strings.Count(logs.String(), "target judged an outlier"), 1, logs.String())
	assert.Assert(t, strings.Contains(logs.String(), "reason=failing"), logs.String())
	var hb roster.Heartbeat
	a.FillHeartbeat(now, &hb)
	assert.Equal(t, hb.Target.Failing, 1.0)
	a.flows.Clear()
	a.judgeTarget(now + 500*time.Millisecond)
	a.judgeTarget(now + 1100*time.Millisecond)
	assert.Equal(t, a.outlierValue(), 0.0)
	assert.Equal(t, strings.Count(logs.String(), "target recovered"), 1, logs.String())
}

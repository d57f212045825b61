package fleet

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/policy/locality"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

// Guards against a decision by loads or a round trip that don't arrive, and one that nobody can follow.
func TestLocalityIsMeasuredAndReported(t *testing.T) {
	f := newStoreFleet(t, "n-1")
	var logs bytes.Buffer
	f.options.Logger = log.NewLogfmtLogger(&logs)
	n := knownNode(f, "n-2")
	f.probeRoundTrips(Now())
	time.Sleep(20 * time.Millisecond)
	hb := roster.Heartbeat{Sequence: 2, Target: roster.Target{Service: "s", ID: "t", Accepting: true, Slots: 2, FlowLoad: 0.125}}
	f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{Heartbeat: toHeartbeat(&n, &hb, false)}))
	measured := f.roundTrip("far")
	assert.Assert(t, measured >= 20*time.Millisecond && measured != locality.DefaultRoundTrip, "%v", measured)
	f.options.Settings.RemoteRoundTrip = time.Millisecond
	assert.Equal(t, f.roundTrip("far"), time.Millisecond)

	agents := f.Roster.Agents(nil, "s")
	assert.Assert(t, len(agents) == 1 && agents[0].Target.FlowLoad == 0.125)
	l := f.Locality(Now(), "s", f.Self.DataCentre, steering.Flow{}, agents)
	assert.Equal(t, l.Reach, steering.ReachFixed, "without the setting")
	f.options.Settings.LocalityFailover = true
	l = f.Locality(Now(), "s", f.Self.DataCentre, steering.Flow{}, agents)
	assert.Equal(t, l.Reach, steering.ReachRemote)
	assert.Assert(t, strings.Contains(logs.String(), `msg="leaving the data centre"`), logs.String())
	assert.Assert(t, strings.Contains(logs.String(), `reason="no target in the data centre"`), logs.String())
	var b bytes.Buffer
	f.options.Metrics.WritePrometheus(&b)
	assert.Assert(t, strings.Contains(b.String(), `lacewing_remote_share{service="s"} 1`), b.String())
}

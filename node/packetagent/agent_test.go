package packetagent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/targetstate"
)

const targetAddress = "127.0.0.1:9999"

// newTestAgent returns an agent of a store. Nothing runs.
func newTestAgent(t *testing.T, store *platformtest.Store) *Agent {
	t.Helper()
	return newTestAgentWith(t, store, func(*Settings) {})
}

// newTestAgentWith returns an agent with changed settings.
func newTestAgentWith(t *testing.T, store *platformtest.Store, change func(*Settings)) *Agent {
	t.Helper()
	s := &Settings{
		Settings: fleet.Settings{Name: "agent", DataCentre: "dc", Fleet: "127.0.0.1:0", Advertise: "127.0.0.1:7400",
			Store: store.Address(), MemoryMB: 256},
		Service: "a", Target: targetAddress, FromTarget: "127.0.0.1:0", CallersAddress: "127.0.0.1:7500",
		Heartbeat: 800 * time.Millisecond, AddressReuse: 2 * time.Second,
	}
	change(s)
	a, err := newAgent(s, fleet.NewProgram(&s.Settings, io.Discard))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = a.conn.Close() })
	return a
}

// startFleet runs the membership of an agent until its routes and roster are known.
func startFleet(t *testing.T, a *Agent) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, a.fleet.Run(ctx)) })
	t.Cleanup(func() { cancel(); running.Wait() })
	for until := time.Now().Add(5 * time.Second); a.fleet.Routes.Load() == nil || !a.fleet.RosterComplete(fleet.Now()); {
		assert.Assert(t, time.Now().Before(until), "the roster stays incomplete")
		time.Sleep(10 * time.Millisecond)
	}
}

// openFlowPacket returns a caller's packet of an open flow, without data.
func openFlowPacket() platform.Packet {
	p := make(platform.Packet, platform.HeaderSize)
	p[0] = 1 // acknowledges
	return p
}

// Guards against resets of open flows by an agent with older routes than the entry, which may lack services of
// the flow's route.
func TestSearchEndsOnlyWithTheRoutesOfTheEntry(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	store.PutRoutes(4, []string{"a"}, nil)
	a := newTestAgent(t, store)
	startFleet(t, a)
	resets := a.counters.Set.GetOrCreateCounter(`lacewing_flows_reset_total{reason="no target holds the flow"}`)
	newer := a.fleet.Routes.Position()
	newer.Version++
	for i, at := range []routes.Position{newer, a.fleet.Routes.Position()} {
		now := fleet.Now()
		a.forwardToNextAgent(now, &pendingPacket{Arrived: now,
			Value: fleet.ForwardedPacket{Service: "a", Origin: "dc", Routes: at, Packet: openFlowPacket()}})
		assert.Equal(t, int(resets.Get()), i, "packet of routes %v", at)
		assert.Equal(t, a.held.Len(), 1)
	}
}

// Guards against the loss of the record of an agent that is restarted while its target drains.
func TestStopKeepsTheRecordOfADrainingTarget(t *testing.T) {
	for _, left := range []bool{false, true} {
		store, err := platformtest.NewStore("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(store.Close)
		ctx, client := context.Background(), platform.NewStore(store.Address(), func(platform.CallResult) {})
		_, err = client.Register(ctx, platform.NodeRecord{Name: "agent", Incarnation: 1, Service: "a", Address: "127.0.0.1:7400"})
		assert.NilError(t, err)
		a := newTestAgent(t, store)
		assert.NilError(t, a.HandleHeartbeat(targetstate.Report{ID: "t", Service: "a", Sequence: 1, Draining: true, Slots: 1},
			targetAddress))
		if left {
			a.HandleLeave("t", 0)
		}
		a.stop(ctx)
		records, _, err := client.Nodes(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(records) == 0, left)
	}
}

// Guards against a running target that is taken for ended, flows included, because the last call of an earlier process
// with the same id was read after its first report.
func TestLeaveOfAnEarlierProcessIsIgnored(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := newTestAgent(t, store)
	for start := range int64(2) {
		assert.NilError(t, a.HandleHeartbeat(targetstate.Report{ID: "t", Service: "a", StartUnixMs: 1000 + start, Sequence: 1, Slots: 1},
			targetAddress))
	}
	leave := func(body string) string {
		w := httptest.NewRecorder()
		platform.TargetHandler(a).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/Backends.Deregister/t", strings.NewReader(body)))
		assert.Equal(t, w.Code, http.StatusOK)
		return a.targetState.Status(fleet.Now()).Reason
	}
	assert.Equal(t, leave(`{"born":1000}`), "")
	assert.Equal(t, leave(`{"born":1001}`), "left")
}

// Guards against an agent that offers new flows to its target although its data centre is evacuated, or may be as far
// as it knows, because an entry sends them, and against one that offers none after the withdrawal.
func TestNewFlowsDuringAnEvacuation(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	store.PutRoutes(4, []string{"a"}, []platformtest.Route{{Name: "a", Host: "198.18.0.1", Port: 8443, Service: "a"}})
	a := newTestAgentWith(t, store, func(s *Settings) { s.EvacuateWithin = 5 * time.Second })
	assert.NilError(t, a.HandleHeartbeat(targetstate.Report{ID: "t", Service: "a", Sequence: 1, Slots: 100}, targetAddress))
	sequence := uint64(1)
	offered := func() bool {
		sequence++
		assert.NilError(t, a.HandleHeartbeat(targetstate.Report{ID: "t", Service: "a", Sequence: sequence, Slots: 100}, targetAddress))
		before := a.counters.delivered.Get()
		a.HandlePacket(fleet.Now(), &fleet.ForwardedPacket{Service: "a", Origin: "dc", Packet: openingPacket(uint16(sequence))})
		return a.counters.delivered.Get() > before
	}
	assert.Assert(t, !offered(), "the agent knows no set")
	startFleet(t, a)
	await := func(want bool) {
		t.Helper()
		for until := time.Now().Add(5 * time.Second); offered() != want; time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(until), "offered: %v", !want)
		}
	}
	await(true)
	store.Evacuate("elsewhere")
	store.Evacuate("dc")
	await(false)
	for range 20 {
		assert.Assert(t, !offered())
	}
	store.Withdraw("dc")
	await(true)
}

// openingPacket returns a caller's first packet of a flow to 198.18.0.1:8443.
func openingPacket(port uint16) platform.Packet {
	return platformtest.OpeningPacket(steering.Flow{CallerIP: [4]byte{100, 66, 0, 1}, CallerPort: port,
		ServiceIP: [4]byte{198, 18, 0, 1}, ServicePort: 8443})
}

// Guards against a target that gets more than it bears after its start, and against limits for one that has run for long
// when its agent starts, or whose service has no limit.
func TestColdTargetGetsFewNewFlows(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration
		perS    float64
		limited bool
	}{
		{"started now", 0, 4, true}, {"started long ago", time.Minute, 4, false}, {"no limit", 0, 0, false},
	} {
		store, err := platformtest.NewStore("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(store.Close)
		a := newTestAgent(t, store)
		a.fleet.Routes.Offer(&routes.Table{Position: routes.Position{Version: 1, Revision: 1},
			Routes:   map[netip.AddrPort]routes.Route{netip.MustParseAddrPort("198.18.0.1:8443"): {Shares: []routes.Share{{Service: "a", Weight: 1}}}},
			Services: map[string]struct{}{"a": {}},
			Limits:   map[string]routes.ServiceLimits{"a": {ColdPerSecond: c.perS, ColdStart: 2 * time.Second}}})
		assert.NilError(t, a.HandleHeartbeat(targetstate.Report{ID: "t", Service: "a", Sequence: 1, Slots: 100,
			StartUnixMs: time.Now().Add(-c.age).UnixMilli()}, targetAddress))
		for port := range uint16(10) {
			a.HandlePacket(fleet.Now(), &fleet.ForwardedPacket{Service: "a", Origin: "dc", Routes: a.fleet.Routes.Position(),
				Packet: openingPacket(port)})
		}
		var hb roster.Heartbeat
		a.FillHeartbeat(fleet.Now(), &hb)
		assert.Equal(t, hb.Target.WarmingUp, c.limited, c.name)
		assert.Equal(t, a.counters.delivered.Get() < 10, c.limited, "%s: %d flows", c.name, a.counters.delivered.Get())
	}
}

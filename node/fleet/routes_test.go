package fleet

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// tableOf returns routes from n addresses to a service.
func tableOf(revision uint64, n int, service string) *routes.Table {
	t := &routes.Table{
		Position: routes.Position{Version: int64(revision), Era: 1, Revision: revision}, IdleTimeout: 15 * time.Second,
		Limits: map[string]routes.ServiceLimits{service: {ColdPerSecond: float64(n), ColdStart: 2500 * time.Millisecond}},
		Routes: map[netip.AddrPort]routes.Route{}, Services: map[string]struct{}{service: {}},
	}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 8443)
		t.Routes[address] = routes.Route{
			Name: fmt.Sprint("r", i), Shares: []routes.Share{{Service: service, Weight: 0.9}, {Service: "z", Weight: 0.1}},
			Objective: 150 * time.Millisecond, Timeout: 2 * time.Second, Priority: i % 3, Idempotent: i%2 == 0,
		}
	}
	return t
}

// Guards against routes that change on their way to another node, and against a cached response
// that is sent for another revision than its own.
func TestUpdatesCarryRoutes(t *testing.T) {
	var cache updateCache
	var sender, receiver routes.Current
	update := func() {
		packed, err := cache.get(&sender, receiver.Position())
		assert.NilError(t, err)
		u, err := unpack(packed)
		assert.NilError(t, err)
		for _, m := range u.GetChanges() {
			c, err := fromChange(m)
			assert.NilError(t, err)
			next, err := c.Apply(receiver.Load())
			assert.NilError(t, err)
			receiver.Offer(next)
		}
	}
	for _, next := range []*routes.Table{tableOf(3, 2000, "a"), tableOf(4, 2001, "a"), tableOf(8, 1500, "b")} {
		sender.Offer(next)
		update()
		assert.Equal(t, receiver.Position(), next.Position)
		assert.Equal(t, len(receiver.Load().Routes), len(next.Routes))
		for address, r := range next.Routes {
			assert.DeepEqual(t, receiver.Load().Routes[address], r)
		}
		assert.DeepEqual(t, receiver.Load().Services, next.Services)
		assert.DeepEqual(t, receiver.Load().Limits, next.Limits)
	}
	_, err := cache.get(&sender, receiver.Position())
	assert.ErrorIs(t, err, errNoNewerRoutes)
}

// Guards against malformed changes that crash the process or leave routes without a service.
func TestMalformedChangesAreRefused(t *testing.T) {
	for _, m := range []*fleetv1.RoutesChange{
		{},
		{Base: 5, Revision: 5},
		{Revision: 5, Routes: []*fleetv1.Route{{Address: []byte{1, 2}, Shares: []*fleetv1.Share{{Service: "a"}}}}},
		{Revision: 5, Routes: []*fleetv1.Route{{Address: make([]byte, 6)}}},
		{Revision: 5, Removed: [][]byte{{1}}},
	} {
		_, err := fromChange(m)
		assert.Assert(t, err != nil, "%v", m)
	}
	_, err := unpack([]byte("not compressed"))
	assert.Assert(t, err != nil)
}

// Guards against a heartbeat that does not fit into a datagram: only small changes are sent with
// it.
func TestOnlySmallChangesAreAnnounced(t *testing.T) {
	f := &Fleet{}
	f.Routes.Offer(tableOf(1, 100, "a"))
	assert.Assert(t, f.smallChange() == nil, "the first table has no change to announce")
	f.Routes.Offer(tableOf(2, 101, "a"))
	assert.Equal(t, len(f.smallChange().GetRoutes()), 1)
	f.Routes.Offer(tableOf(3, 101, "b"))
	assert.Assert(t, f.smallChange() == nil)
}

// Guards against a node that sends routes to all others at the same time: beyond the limit it
// refuses requests, and it serves again once a response is written.
func TestFewAreServedAtATime(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	h := limitConcurrent(2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-leave
	}))
	request := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, routesProcedure, nil))
		return w.Code
	}
	results := make(chan int)
	for range 2 {
		go func() { results <- request() }()
		<-entered
	}
	assert.Equal(t, request(), http.StatusServiceUnavailable)
	close(leave)
	assert.Equal(t, <-results, http.StatusOK)
	assert.Equal(t, <-results, http.StatusOK)
	go func() { <-entered }()
	assert.Equal(t, request(), http.StatusOK)
}

// Guards against a node that forgets, with new routes, at which services open flows of a route may be.
func TestFormerServicesOfNewRoutesAreKept(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f := newTestFleet(t, store, "self")
	flow := steering.Flow{ServiceIP: [4]byte{198, 18, 0, 0}, ServicePort: 8443}
	assert.Assert(t, f.applyTable(tableOf(1, 1, "a"), "test", "list"))
	assert.DeepEqual(t, f.AppendFormerServices(Now(), []string{"b"}, flow), []string{"b"})
	assert.Assert(t, f.applyTable(tableOf(2, 1, "b"), "test", "list"))
	assert.DeepEqual(t, f.AppendFormerServices(Now(), []string{"b"}, flow), []string{"b", "a"})
}

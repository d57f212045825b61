package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

// Timing of the agent's life cycle.
const (
	tickInterval    = 20 * time.Millisecond
	refreshInterval = 100 * time.Millisecond
	// minJoinTime leaves time to receive the pool's records before the agent concludes that no
	// member has flows to register.
	minJoinTime     = 500 * time.Millisecond
	maxJoinTime     = 2 * time.Second
	maxHandOverTime = 2 * time.Second
	minDrainTime    = 500 * time.Millisecond
	// forwardAfterLeaveTime is how long the agent still forwards datagrams from entries that have
	// not yet received its departure.
	forwardAfterLeaveTime = time.Second
)

// Run serves until ctx ends and the graceful shutdown that follows is complete. The transport and
// the mesh must keep running until Run has returned. When abort ends, Run returns without a
// graceful shutdown.
func (a *Agent) Run(ctx, abort context.Context) error {
	work, stop := context.WithCancel(abort)
	ctx, cancel := mergeContexts(ctx, abort)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { a.health.run(work) })
	running.Go(func() { a.runUpdates(work) })
	if a.targetSocket != nil {
		running.Go(a.readTarget) // a single reader keeps the order of the target's datagrams
	}
	a.join(ctx)
	<-ctx.Done()
	a.shutDown(abort)
	stop()
	if a.targetSocket != nil {
		a.targetSocket.close()
	}
	running.Wait()
	return nil
}

// readTarget sends the target's datagrams to the entries until the socket is closed.
func (a *Agent) readTarget() {
	s := a.newScratch()
	handle := func(slot uint32, payload []byte) { a.sendSlotToCaller(s, slot, payload) }
	a.targetSocket.read(handle, func() { a.flush(s) })
}

// mergeContexts returns a context that ends with either of the two.
func mergeContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	merged, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return merged, func() {
		stop()
		cancel()
	}
}

// runUpdates updates the view and the flow table until the context ends.
func (a *Agent) runUpdates(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	refresh := time.NewTicker(refreshInterval)
	defer tick.Stop()
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.tick()
		case <-refresh.C:
			a.update()
		case <-a.refreshRequested:
			a.update()
		}
	}
}

func (a *Agent) update() {
	a.refresh()
	a.applyDrain()
}

// applyDrain starts or ends the drain of the target as the settings or the Drain RPC demand.
func (a *Agent) applyDrain() {
	if !a.announcedReady.Load() || a.stopping.Load() {
		return
	}
	spec := a.pool.settings()
	self := a.options.Mesh.Self()
	drain := spec.IsDraining(self.Name) || a.drainForced.Load()
	a.table.SetDraining(drain)
	switch {
	case drain && self.State == record.Ready:
		a.setState(record.Draining)
	case !drain && self.State == record.Draining:
		a.setState(record.Ready)
	}
}

// forceDrain drains the target until the process ends.
func (a *Agent) forceDrain() {
	a.drainForced.Store(true)
	a.requestRefresh()
}

func (a *Agent) setState(s record.State) {
	a.options.Mesh.SetState(s)
	_ = level.Info(a.options.Logger).Log(logging.KeyMessage, "state changed", logging.KeyState, s)
	a.requestRefresh()
}

// join waits until the pool's members have registered their flows here, then announces the target
// as ready.
func (a *Agent) join(ctx context.Context) {
	a.requestRefresh()
	started := time.Now()
	waitUntil(ctx, minJoinTime, func() bool { return false })
	waitUntil(ctx, maxJoinTime-time.Since(started), a.table.HasAllRegistrations)
	if ctx.Err() != nil {
		return
	}
	a.setState(record.Ready)
	a.announcedReady.Store(true)
}

// shutDown drains the target, hands the directory over and announces the departure.
func (a *Agent) shutDown(abort context.Context) {
	a.stopping.Store(true)
	a.table.SetDraining(true)
	a.setState(record.Draining)
	drain, cancel := context.WithTimeout(abort, a.options.DrainTimeout)
	defer cancel()
	waitUntil(drain, minDrainTime, func() bool { return false })
	if err := a.flowServer.Drain(drain); err != nil {
		_ = level.Warn(a.options.Logger).Log(logging.KeyMessage, "drain ended by timeout", "flows",
			a.table.OwnedFlows())
	}
	a.pool.mu.Lock()
	successor := viewWithout(a.pool.view, a.self)
	a.pool.mu.Unlock()
	a.table.HandOver(successor)
	waitUntil(abort, maxHandOverTime, a.table.HandedOver)
	a.options.Mesh.Leave(a.flowServer.HandOver(abort))
	_ = level.Info(a.options.Logger).Log(logging.KeyMessage, "state changed", logging.KeyState, record.Left)
	a.requestRefresh()
	waitUntil(abort, forwardAfterLeaveTime, func() bool { return false })
}

// viewWithout returns the view after the agent has left.
func viewWithout(v *view.View, self ident.NodeID) *view.View {
	members := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool { return m.Node.ID == self })
	return view.Build(v, v.Service, v.Slots(), members)
}

// waitUntil returns when done reports true, after the timeout, or when the context ends.
func waitUntil(ctx context.Context, timeout time.Duration, done func() bool) {
	limit := time.NewTimer(timeout)
	poll := time.NewTicker(tickInterval)
	defer limit.Stop()
	defer poll.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-poll.C:
		}
	}
}

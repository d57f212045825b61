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
	// joinAtLeast leaves time to learn of the pool before the agent concludes that nobody has anything to register.
	joinAtLeast     = 500 * time.Millisecond
	joinAtMost      = 2 * time.Second
	handOverAtMost  = 2 * time.Second
	announceAtLeast = 500 * time.Millisecond
	// leaveLinger is how long datagrams of entries that have not yet learnt of the departure are still forwarded.
	leaveLinger = time.Second
)

// Run serves until ctx ends and the graceful shutdown after it is complete. The transport and the mesh must keep running until Run has
// returned. When abort ends, Run returns without a graceful shutdown.
func (a *Agent) Run(ctx, abort context.Context) error {
	work, stop := context.WithCancel(abort)
	ctx, cancel := merge(ctx, abort)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { a.health.run(work) })
	running.Go(func() { a.loop(work) })
	if a.feed != nil {
		running.Go(a.readTarget) // one reader, to keep the order of the target's datagrams
	}
	a.join(ctx)
	<-ctx.Done()
	a.shutDown(abort)
	stop()
	if a.feed != nil {
		a.feed.close()
	}
	running.Wait()
	return nil
}

// readTarget passes the target's datagrams to the entries until the socket is closed.
func (a *Agent) readTarget() {
	s := a.newScratch()
	back := func(slot uint32, payload []byte) { a.returnSlot(s, slot, payload) }
	a.feed.read(back, func() { a.flush(s) })
}

// merge returns a context that ends with either of the two.
func merge(a, b context.Context) (context.Context, context.CancelFunc) {
	merged, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return merged, func() {
		stop()
		cancel()
	}
}

// loop refreshes the view and the table until the context ends.
func (a *Agent) loop(ctx context.Context) {
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
		case <-a.changed:
			a.update()
		}
	}
}

func (a *Agent) update() {
	a.refresh()
	a.followDrain()
}

// followDrain drains the target, or ends that, as the settings say.
func (a *Agent) followDrain() {
	if !a.ready.Load() || a.exiting.Load() {
		return
	}
	spec := a.pool.settings()
	self := a.options.Mesh.Self()
	drain := spec.IsDraining(self.Name) || a.drained.Load()
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
	a.drained.Store(true)
	a.wake()
}

func (a *Agent) setState(s record.State) {
	a.options.Mesh.SetState(s)
	_ = level.Info(a.options.Logger).Log(logging.KeyMessage, "state changed", logging.KeyState, s)
	a.wake()
}

// join waits until the pool has registered its flows here, then announces the target as ready.
func (a *Agent) join(ctx context.Context) {
	a.wake()
	started := time.Now()
	wait(ctx, joinAtLeast, func() bool { return false })
	wait(ctx, joinAtMost-time.Since(started), a.table.HasAllRegistrations)
	if ctx.Err() != nil {
		return
	}
	a.setState(record.Ready)
	a.ready.Store(true)
}

// shutDown drains the target, hands the directory over and announces the departure.
func (a *Agent) shutDown(abort context.Context) {
	a.exiting.Store(true)
	a.table.SetDraining(true)
	a.setState(record.Draining)
	drain, cancel := context.WithTimeout(abort, a.options.DrainTimeout)
	defer cancel()
	wait(drain, announceAtLeast, func() bool { return false })
	if err := a.local.Drain(drain); err != nil {
		_ = level.Warn(a.options.Logger).Log(logging.KeyMessage, "drain ended by timeout", "flows", a.table.OwnedFlows())
	}
	a.pool.mu.Lock()
	successor := without(a.pool.view, a.self)
	a.pool.mu.Unlock()
	a.table.HandOver(successor)
	wait(abort, handOverAtMost, a.table.HandedOver)
	a.options.Mesh.Leave(a.local.HandOver(abort))
	_ = level.Info(a.options.Logger).Log(logging.KeyMessage, "state changed", logging.KeyState, record.Left)
	a.wake()
	wait(abort, leaveLinger, func() bool { return false })
}

// without returns the view that holds when the agent has left.
func without(v *view.View, self ident.NodeID) *view.View {
	members := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool { return m.Node.ID == self })
	return view.Build(v, v.Service, v.Slots(), members)
}

// wait returns when done reports true, after the duration, or when the context ends.
func wait(ctx context.Context, atMost time.Duration, done func() bool) {
	limit := time.NewTimer(atMost)
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

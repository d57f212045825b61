package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/evacuation"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/storereader"
)

const (
	// evacuationsWatchWait is the duration of one watch of the evacuations without changes. They change
	// rarely, so that it is longer than watchWait to save calls.
	evacuationsWatchWait = 2 * time.Second
	// evacuationsCheckInterval is the interval at which a node checks whether a data centre only stayed
	// evacuated because of a restore of the store.
	evacuationsCheckInterval = 100 * time.Millisecond
	// evacuationStatusInterval is the shortest interval of two writes of the status of one request.
	evacuationStatusInterval = 5 * time.Second
	// firstHeartbeatsWait is how long a starting node waits for the set of another one before it reads the store. Nodes that
	// run answer its first message well within it. Nodes that have all started together can't tell of a set, and their
	// agents take no new flows until they know one.
	firstHeartbeatsWait = 50 * time.Millisecond
)

// evacuationState is what a node knows of the operator's requests to evacuate data centres.
type evacuationState struct {
	current   evacuation.Current
	logging   sync.Mutex                    // held while a change is logged, so that changes are logged in their order
	unknown   map[ident.DataCentre]struct{} // requested, but no node of them is known; guarded by logging
	freshness *evacuation.Freshness
}

// readsEvacuations reports whether the settings ask for evacuations. Otherwise, sets of other nodes are ignored too.
func (f *Fleet) readsEvacuations() bool { return f.options.Settings.EvacuateWithin > 0 }

// Evacuated returns the data centres to whose targets no new flows may go.
func (f *Fleet) Evacuated(now time.Duration) []ident.DataCentre {
	return f.evacuations.current.Evacuated(now)
}

// AwaitsEvacuations reports whether this node has started, or was stalled, so recently that it may not know yet which
// data centres are evacuated.
func (f *Fleet) AwaitsEvacuations(now time.Duration) bool {
	e := &f.evacuations
	return f.readsEvacuations() && e.freshness.Awaits(now, e.current.Load() != nil, f.Routes.Load() != nil)
}

// CountEvacuated counts a new flow that this node has refused because of evacuations.
func (f *Fleet) CountEvacuated() {
	f.options.Metrics.GetOrCreateCounter(`lacewing_flows_refused_total{reason="evacuated"}`).Inc()
}

// readEvacuations reads the evacuations from the store: until a set is known, and continuously while this node
// is a reader.
func (f *Fleet) readEvacuations(ctx context.Context) {
	var retry backoff
	timing.Sleep(ctx, firstHeartbeatsWait)
	for ctx.Err() == nil {
		if f.evacuations.current.Load() != nil && !f.isReader() {
			timing.Sleep(ctx, readerCheckInterval)
			continue
		}
		err := f.followEvacuations(ctx)
		if err == nil || ctx.Err() != nil {
			retry.reset()
			continue
		}
		if f.nodeLog.Allow() {
			f.nodeLog.Log("reading the evacuations failed", logging.KeyError, err)
		}
		retry.wait(ctx)
	}
}

// followEvacuations lists the evacuations, then watches them until a call fails, the next list is due, the store
// was restored or this node is no longer a reader.
func (f *Fleet) followEvacuations(ctx context.Context) error {
	listed, err := f.store.ListEvacuations(ctx)
	if err != nil {
		return err
	}
	f.applyEvacuations(&listed, "list")
	known := listed
	for until := time.Now().Add(routesRelistInterval); time.Now().Before(until) && f.isReader(); {
		next, err := f.store.WatchEvacuations(ctx, &known, evacuationsWatchWait)
		if err != nil {
			return err
		}
		if next.Era != known.Era {
			return nil // changes at revisions below those of before the restore may have been missed
		}
		if next.AsOf != known.AsOf {
			f.applyEvacuations(&next, "watch")
		}
		known = next
	}
	return nil
}

// applyEvacuations puts a set from the store in force if it is newer, and announces it if it changes anything.
func (f *Fleet) applyEvacuations(stored *platform.Evacuations, call string) {
	for _, fault := range stored.Faults {
		if f.nodeLog.Allow() {
			f.nodeLog.Log("invalid evacuation skipped", logging.KeyError, fault)
		}
	}
	set := evacuation.NewSet(evacuation.Position{Era: stored.Era, Revision: stored.AsOf}, stored.DataCentres())
	if f.offerEvacuations(Now(), set, "store", call) {
		f.Announce()
	}
}

// receiveEvacuations puts the set that a heartbeat carries in force if it is newer.
func (f *Fleet) receiveEvacuations(now time.Duration, h *fleetv1.Heartbeat) {
	m := h.GetEvacuations()
	if m == nil || !f.readsEvacuations() {
		return
	}
	set, err := fromEvacuations(m)
	if err != nil {
		f.rejectMessage("evacuations", err)
		return
	}
	f.offerEvacuations(now, set, h.GetSender().GetName(), "heartbeat")
}

// offerEvacuations puts a set in force if it is newer. It returns whether other data centres are evacuated now,
// or the set is the first one that is known.
func (f *Fleet) offerEvacuations(now time.Duration, set *evacuation.Set, from, call string) bool {
	e := &f.evacuations
	e.logging.Lock()
	defer e.logging.Unlock()
	isFirst := e.current.Load() == nil
	change, ok := e.current.Offer(now, set)
	if !ok {
		return false
	}
	if isFirst {
		_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "evacuations known", "data_centres", len(set.DataCentres),
			logging.KeyEra, set.Era, logging.KeyRevision, set.Revision, "from", from, "call", call, logging.KeyAge, now-f.started)
	}
	f.logEvacuations(&change, from, call)
	return isFirst || !change.IsZero()
}

// watchEvacuations logs what changes without a newer set, until the context ends: the end of the hold after a
// restore of the store, and the first node of a data centre for which there is a request.
func (f *Fleet) watchEvacuations(ctx context.Context) error {
	return timing.Every(ctx, evacuationsCheckInterval, func(time.Time) {
		e, now := &f.evacuations, Now()
		e.freshness.RecordRunning(now)
		e.logging.Lock()
		defer e.logging.Unlock()
		change := e.current.Update(now)
		f.logEvacuations(&change, "store", "request lost with a restore")
		for dc := range e.unknown {
			if f.Roster.HasDataCentre(dc) {
				f.logEvacuations(&evacuation.Change{Evacuated: []ident.DataCentre{dc}}, "store", "first node")
			}
		}
	})
}

// logEvacuations logs and counts a change of the evacuated data centres. The caller holds the lock for it.
func (f *Fleet) logEvacuations(change *evacuation.Change, from, call string) {
	e := &f.evacuations
	for _, dc := range change.Evacuated {
		if dc != f.Self.DataCentre && !f.Roster.HasDataCentre(dc) {
			// There is nobody to evacuate. Names of other writers must not become labels of metrics.
			e.unknown[dc] = struct{}{}
			f.logEvacuation("evacuation of an unknown data centre ignored", dc, from, call)
			continue
		}
		delete(e.unknown, dc)
		f.logEvacuation("data centre evacuated", dc, from, call)
		f.evacuatedGauge(dc).Set(1)
	}
	for _, dc := range change.Withdrawn {
		if _, ok := e.unknown[dc]; ok {
			delete(e.unknown, dc)
			continue
		}
		f.logEvacuation("evacuation withdrawn", dc, from, call)
		f.evacuatedGauge(dc).Set(0)
	}
}

func (f *Fleet) logEvacuation(message string, dc ident.DataCentre, from, call string) {
	if f.nodeLog.Allow() {
		at := f.evacuations.current.Load()
		f.nodeLog.Log(message, "data_centre", dc, logging.KeyEra, at.Era, logging.KeyRevision, at.Revision, "from", from, "call", call)
	}
}

func (f *Fleet) evacuatedGauge(dc ident.DataCentre) *metrics.Gauge {
	return f.options.Metrics.GetOrCreateGauge(fmt.Sprintf("lacewing_evacuated{data_centre=%q}", string(dc)), nil)
}

// reportEvacuations writes the status of the requests to the store while this node is the reader with the lowest id, until
// the context ends.
func (f *Fleet) reportEvacuations(ctx context.Context) error {
	written := map[ident.DataCentre]platform.EvacuationStatus{}
	return timing.Every(ctx, evacuationStatusInterval, func(time.Time) {
		now := Now()
		set := f.evacuations.current.Load()
		if set == nil || len(set.DataCentres) == 0 || !f.isReader() || f.storeLost.Load() || !f.isFirstReader(now) {
			clear(written)
			return
		}
		for _, dc := range set.DataCentres {
			status := f.evacuationStatus(now, dc)
			if before, ok := written[dc]; ok && before == status || dc != f.Self.DataCentre && !f.Roster.HasDataCentre(dc) {
				continue
			}
			if err := f.store.PutEvacuationStatus(ctx, string(dc), status); err != nil {
				if f.nodeLog.Allow() {
					f.nodeLog.Log("writing the status of an evacuation failed", "data_centre", dc, logging.KeyError, err)
				}
				continue
			}
			written[dc] = status
		}
	})
}

// isFirstReader reports whether no other data centre has a store reader with a lower id than this node.
func (f *Fleet) isFirstReader(now time.Duration) bool {
	byDC := map[ident.DataCentre][]ident.NodeID{}
	for _, p := range f.Roster.Peers() {
		if p.DataCentre != f.Self.DataCentre && p.Running(now) {
			byDC[p.DataCentre] = append(byDC[p.DataCentre], p.ID)
		}
	}
	for _, nodes := range byDC {
		if id := storereader.ReaderAmong(nodes, f.canReachStore); id < f.Self.ID && f.canReachStore(id) {
			return false
		}
	}
	return true
}

// evacuationStatus returns the targets in a data centre that have not ended, and their flows.
func (f *Fleet) evacuationStatus(now time.Duration, dc ident.DataCentre) platform.EvacuationStatus {
	status := platform.EvacuationStatus{Evacuated: true}
	add := func(t *roster.Target) {
		if !t.Ended {
			status.Targets++
			status.Flows += t.Flows
		}
	}
	if dc == f.Self.DataCentre && !f.Self.Entry {
		var own roster.Heartbeat
		f.options.Handler.FillHeartbeat(now, &own)
		add(&own.Target)
	}
	for _, p := range f.Roster.Peers() {
		if p.DataCentre == dc && !p.Entry && p.HeartbeatSeen && p.Health(now) != roster.Gone {
			add(&p.Target)
		}
	}
	return status
}

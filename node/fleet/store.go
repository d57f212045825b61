package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/stalerecords"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// relistInterval is the interval at which readers list all node records, to find nodes whose
	// heartbeats were missed.
	relistInterval = 20 * time.Second
)

// dependency logs when a service that this node needs becomes unavailable, and when it is available
// again.
type dependency struct {
	name   string
	logger log.Logger

	mu     sync.Mutex
	lost   bool
	lostAt time.Time
}

func (d *dependency) update(ok bool, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok != d.lost {
		return
	}
	d.lost = !ok
	if ok {
		_ = level.Info(d.logger).Log(logging.KeyMessage, "dependency regained", "dependency", d.name,
			"away", time.Since(d.lostAt))
		return
	}
	d.lostAt = time.Now()
	_ = level.Warn(d.logger).Log(logging.KeyMessage, "dependency lost", "dependency", d.name, logging.KeyReason, detail)
}

func (f *Fleet) observeStore(r platform.CallResult) {
	f.observeStoreEra(r.Era, "store")
	m := f.options.Metrics
	m.GetOrCreateCounter(`lacewing_store_calls_total{call="` + r.Call + `",status="` + r.Status + `"}`).Inc()
	if r.Call != "watch" {
		m.GetOrCreateHistogram(`lacewing_store_call_seconds{call="` + r.Call + `"}`).Update(r.Elapsed.Seconds())
	}
}

// observeStoreEra takes note of the store's era, as an answer of the store or another node names it. If
// it is a later one, the store has lost writes that it had acknowledged: this node's record is checked.
func (f *Fleet) observeStoreEra(era uint64, from string) {
	for {
		before := f.storeEra.Load()
		if era <= before {
			return
		}
		if !f.storeEra.CompareAndSwap(before, era) {
			continue
		}
		if before == 0 { // the first one that this node has learned
			_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "store era", logging.KeyEra, era, "from", from)
			return
		}
		_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "store restored from an older copy",
			logging.KeyEra, era, "before", before, "from", from)
		f.checkRecordNow()
		f.Announce() // other nodes may make no calls for a long time
		return
	}
}

// recordStoreResult updates the availability of the store after a call, and returns whether it is
// available. An error that rejects only that one call shows that it is.
func (f *Fleet) recordStoreResult(err error) bool {
	ok := err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrHistoryGone)
	detail := ""
	if !ok {
		detail = err.Error()
	}
	f.storeDependency.update(ok, detail)
	return ok
}

// backoff is the pause between failed calls. It is jittered, so that nodes whose calls failed
// together do not retry together.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

func (b *backoff) wait(ctx context.Context) bool {
	if b.next == 0 {
		b.next = firstBackoff
	}
	d := timing.Jitter(b.next)
	b.next = min(2*b.next, maxBackoff)
	return timing.Sleep(ctx, d)
}

// ownRecord is this node's record and what is known of the one in the store.
type ownRecord struct {
	platform.NodeRecord
	written   bool // the store has acknowledged the record as it is
	renewedAt time.Duration
}

// maintainRecord keeps the node's record up to date, checks it after a restore of the store, and
// lists the records of all nodes at the start. Readers list them again periodically on behalf of their
// data centre. The record is written before the list: of two nodes that start together, at least one
// finds the other.
func (f *Fleet) maintainRecord(ctx context.Context) {
	record := ownRecord{renewedAt: Now(), NodeRecord: platform.NodeRecord{
		Name: f.Self.Name, Incarnation: uint64(f.Self.Incarnation), Entry: f.Self.Entry,
		DataCentre: string(f.Self.DataCentre), Address: f.Self.Address.String(), Service: f.options.Service,
	}}
	var retry backoff
	for {
		called, err := f.syncOwnRecord(ctx, &record)
		if ctx.Err() != nil {
			return
		}
		if called {
			f.recordStoreResult(err)
		}
		if err == nil && record.written {
			retry.reset()
			if !f.waitForRecordDue(ctx, timing.Jitter(relistInterval)) {
				return
			}
			continue
		}
		if !retry.wait(ctx) {
			return
		}
	}
}

// syncOwnRecord makes the calls that are due: it checks or writes this node's record and lists those of
// all nodes. It returns whether it made any.
func (f *Fleet) syncOwnRecord(ctx context.Context, record *ownRecord) (called bool, err error) {
	f.updateOwnRecord(record)
	if record.written && record.Era < f.storeEra.Load() {
		called = true
		if err := f.findOwnRecord(ctx, record); err != nil {
			return called, err
		}
	}
	if !record.written {
		called = true
		if err := f.writeOwnRecord(ctx, record); err != nil {
			return called, err
		}
	}
	if !f.storeListed.Load() || f.isReader() {
		called = true
		record.written, err = f.listNodes(ctx)
	}
	return called, err
}

// updateOwnRecord brings the record up to date and decides whether it has to be written.
func (f *Fleet) updateOwnRecord(record *ownRecord) {
	if now := Now(); now-record.renewedAt > stalerecords.RenewInterval {
		record.written, record.renewedAt = false, now
		record.Renewals++
	}
	if incarnation := f.incarnation.Load(); incarnation != record.Incarnation {
		record.written, record.Incarnation = false, incarnation
	}
	if draining := f.draining.Load(); draining != record.Draining {
		record.written, record.Draining = false, draining
	}
}

// findOwnRecord checks whether the store still has the record after a restore. All nodes do so at that
// moment, so it first waits a random time.
func (f *Fleet) findOwnRecord(ctx context.Context, record *ownRecord) error {
	spread := stalerecords.CheckSpread(len(f.Roster.Peers()) + 1)
	if !timing.Sleep(ctx, time.Duration(rand.Int64N(int64(spread)))) {
		return ctx.Err()
	}
	found, ok, err := f.store.FindRecord(ctx, record.NodeRecord)
	if err != nil {
		return err
	}
	record.NodeRecord, record.written = found, ok
	if !ok {
		_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "node record lost with the restore of the store",
			logging.KeyEra, f.storeEra.Load())
	}
	return nil
}

func (f *Fleet) writeOwnRecord(ctx context.Context, record *ownRecord) error {
	record.Unreported = !f.options.Entry && !f.targetReported.Load() // entries have no target
	var err error
	record.NodeRecord, err = f.store.Register(ctx, record.NodeRecord)
	record.written = err == nil
	if record.Draining && f.draining.CompareAndSwap(false, true) {
		f.options.OnDrained()
	}
	return err
}

// waitForRecordDue waits until this node's record may be out of date, for at most d. It returns false if
// the context ended first.
func (f *Fleet) waitForRecordDue(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.recordDue:
	case <-timer.C:
	}
	return true
}

// listNodes adds the nodes in the store to the roster. It returns whether the store holds this
// node's record, of this or an earlier incarnation, with its present address; true if the call
// failed.
func (f *Fleet) listNodes(ctx context.Context) (bool, error) {
	records, unreadable, err := f.store.Nodes(ctx)
	if unreadable > 0 {
		_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "unreadable node records", "count", unreadable)
	}
	if err != nil {
		return true, err
	}
	ownFound, relisted := false, f.storeListed.Load()
	now, latest := Now(), latestIncarnation()
	for i := range records {
		r := &records[i]
		if r.Name == f.Self.Name {
			ownFound = r.Incarnation <= f.incarnation.Load() && r.Address == f.Self.Address.String()
			if n, err := fromRecord(r); err == nil {
				f.observeOwnIncarnation(n.Incarnation, "store")
			}
			continue
		}
		n, err := fromRecord(r)
		if err == nil {
			err = f.checkStart(now, latest, &n, false)
		}
		if err != nil {
			_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "node record rejected", logging.KeyPeer, r.Name,
				logging.KeyReason, err)
			continue
		}
		if f.addNode(now, n, r.Service, r.Draining, "store") && relisted {
			f.sendNodes(n) // a node that only a later list contains may lack other nodes as well
		}
	}
	f.storeListed.Store(true)
	f.removeStaleRecords(ctx, now, records)
	return ownFound, nil
}

// fromRecord returns the node that a record describes.
func fromRecord(r *platform.NodeRecord) (roster.Node, error) {
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return roster.Node{}, errors.Wrap(err, "address")
	}
	n := roster.Node{
		ID: ident.NewNodeID(r.Name), Name: r.Name, Incarnation: ident.Incarnation(r.Incarnation), Entry: r.Entry,
		DataCentre: ident.DataCentre(r.DataCentre), Address: address,
	}
	return n, checkNode(&n)
}

// removeStaleRecords deletes records of nodes that are gone for good, also those of agents that a
// restore of the store has brought back, if this node reads the store
// for its data centre.
func (f *Fleet) removeStaleRecords(ctx context.Context, now time.Duration, records []platform.NodeRecord) {
	if !f.isReader() {
		f.recordObserver = stalerecords.Observer{}
		return
	}
	list := make([]stalerecords.Record, len(records))
	for i := range records {
		list[i] = stalerecords.Record{Name: records[i].Name, Era: records[i].Era, Revision: records[i].Revision}
	}
	isRunning := func(name string) bool {
		p, ok := f.Roster.Find(ident.NewNodeID(name))
		return name == f.Self.Name || ok && p.Running(now)
	}
	stale := f.recordObserver.Observe(now, list, isRunning)
	for i := range records {
		if f.Roster.HasLeft(now, ident.NewNodeID(records[i].Name), ident.Incarnation(records[i].Incarnation)) {
			stale = append(stale, list[i])
		}
	}
	for _, r := range stale {
		if r.Era != f.storeEra.Load() {
			continue // its revision may be that of another record by now
		}
		// The revision guards against a race: a record that was renewed since the list has another
		// one and stays.
		if err := f.store.Deregister(ctx, r.Name, r.Revision); err != nil {
			_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "removing a stale node record failed",
				logging.KeyPeer, r.Name, logging.KeyRevision, r.Revision, logging.KeyError, err)
			continue
		}
		_ = level.Info(f.options.Logger).Log(
			logging.KeyMessage, "stale node record removed", logging.KeyPeer, r.Name, logging.KeyRevision, r.Revision)
	}
}

// Deregister deletes the node's record. It is for a node that does not come back.
func (f *Fleet) Deregister(ctx context.Context) error {
	return f.store.Deregister(ctx, f.Self.Name, 0)
}

package fleet

import (
	"context"
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
	"lacewinglever.dev/policy/registry"
	"lacewinglever.dev/policy/roster"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// relistEvery is the interval in which readers read all records again, to find nodes that heartbeats missed.
	relistEvery = 20 * time.Second
)

// dependency logs when something this node needs is lost and regained.
type dependency struct {
	name   string
	logger log.Logger

	mu   sync.Mutex
	lost bool
	at   time.Time
}

func (d *dependency) seen(ok bool, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok != d.lost {
		return
	}
	d.lost = !ok
	if ok {
		_ = level.Info(d.logger).Log(logging.KeyMessage, "dependency regained", "dependency", d.name, "away", time.Since(d.at))
		return
	}
	d.at = time.Now()
	_ = level.Warn(d.logger).Log(logging.KeyMessage, "dependency lost", "dependency", d.name, logging.KeyReason, detail)
}

func (f *Fleet) observeStore(r platform.CallResult) {
	m := f.options.Metrics
	m.GetOrCreateCounter(`lacewing_store_calls_total{call="` + r.Call + `",status="` + r.Status + `"}`).Inc()
	if r.Call != "watch" {
		m.GetOrCreateHistogram(`lacewing_store_call_seconds{call="` + r.Call + `"}`).Update(r.Elapsed.Seconds())
	}
}

// noteStore logs what a failed call says of the store. Answers that refuse one call show that the store serves.
func (f *Fleet) noteStore(err error) {
	ok := err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrHistoryGone)
	detail := ""
	if !ok {
		detail = err.Error()
	}
	f.storeSeen.seen(ok, detail)
}

// backoff is the pause between failed calls. It is jittered, so that nodes that failed together don't return together.
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

// register keeps the node's record up to date, and reads those of all nodes at the start; readers read them again from time to time on behalf of the
// others. The record is written first: of two nodes that start together, at least one finds the other.
func (f *Fleet) register(ctx context.Context) {
	record := platform.NodeRecord{
		Name: f.Self.Name, Incarnation: uint64(f.Self.Incarnation), Entry: f.Self.Entry, DataCentre: string(f.Self.DataCentre),
		Address: f.Self.Address.String(), Service: f.options.Service,
	}
	var pause backoff
	written, renewed := false, Now()
	for {
		if now := Now(); now-renewed > registry.RenewInterval {
			written, renewed = false, now
			record.Renewals++
		}
		if draining := f.draining.Load(); draining != record.Draining {
			written, record.Draining = false, draining
		}
		err := error(nil)
		if !written {
			record.Unreported = !f.options.Entry && !f.reported.Load() // entries have no target
			record, err = f.store.Register(ctx, record)
			written = err == nil
			if record.Draining && f.draining.CompareAndSwap(false, true) {
				f.options.OnDrained()
			}
		}
		if written && (!f.listed.Load() || f.isReader()) {
			written, err = f.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		f.noteStore(err)
		if err == nil && written {
			pause.reset()
			if !f.untilRewrite(ctx, timing.Jitter(relistEvery)) {
				return
			}
			continue
		}
		if !pause.wait(ctx) {
			return
		}
	}
}

// untilRewrite waits until the own record is out of date, d at most. It returns false if the context ended first.
func (f *Fleet) untilRewrite(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.rewrite:
	case <-timer.C:
	}
	return true
}

// list learns the nodes that the store names. It returns whether this node's own record is among them.
func (f *Fleet) list(ctx context.Context) (bool, error) {
	records, unreadable, err := f.store.Nodes(ctx)
	if unreadable > 0 {
		_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "unreadable node records", "count", unreadable)
	}
	if err != nil {
		return true, err
	}
	own, again := false, f.listed.Load()
	now := Now()
	for i := range records {
		r := &records[i]
		if r.Name == f.Self.Name {
			own = r.Incarnation <= uint64(f.Self.Incarnation) && r.Address == f.Self.Address.String()
			continue
		}
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil || r.Incarnation == 0 {
			_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "node record without address or incarnation", logging.KeyPeer, r.Name)
			continue
		}
		n := roster.Node{
			ID: ident.NewNodeID(r.Name), Name: r.Name, Incarnation: ident.Incarnation(r.Incarnation), Entry: r.Entry,
			DataCentre: ident.DataCentre(r.DataCentre), Address: address,
		}
		if f.learnNode(now, n, r.Service, r.Draining, "store") && again {
			f.sendNodes(n) // it has missed this node, and so perhaps others
		}
	}
	f.listed.Store(true)
	f.removeStale(ctx, now, records)
	return own, nil
}

// removeStale deletes records of nodes that are gone for good, if this node reads the store for its data centre.
func (f *Fleet) removeStale(ctx context.Context, now time.Duration, records []platform.NodeRecord) {
	if !f.isReader() {
		f.records = registry.Observer{}
		return
	}
	list := make([]registry.Record, len(records))
	for i := range records {
		list[i] = registry.Record{Name: records[i].Name, Revision: records[i].Revision}
	}
	heard := func(name string) bool {
		p, ok := f.Roster.Find(ident.NewNodeID(name))
		return name == f.Self.Name || ok && p.Running(now)
	}
	for _, r := range f.records.Observe(now, list, heard) {
		// A record that was renewed since has another revision and stays.
		err := f.store.Deregister(ctx, r.Name, r.Revision)
		_ = level.Info(f.options.Logger).Log(
			logging.KeyMessage, "stale node record removed", logging.KeyPeer, r.Name, logging.KeyRevision, r.Revision, logging.KeyError, err)
	}
}

// Deregister removes the node's record, when it will not come back.
func (f *Fleet) Deregister(ctx context.Context) error {
	return f.store.Deregister(ctx, f.Self.Name, 0)
}

package duty

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/node/objects"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

const (
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// step performs the next step of a service if it is due at this entry's rank. It forgets the service when there is none.
func (d *Duty) step(ctx context.Context, service ident.ServiceName, now time.Time) {
	p := d.pending[service]
	if p.running || now.Before(p.retry) || (p.decided && !d.due(service, p, now)) {
		return
	}
	state := d.cache.state(service, now)
	if c := d.counts[service]; c != nil {
		state.Progress = c.progress()
	}
	next := settings.NextStep(state)
	if next.Kind == settings.NoStep {
		delete(d.pending, service)
		return
	}
	if next.Kind == settings.Wait {
		p.kind, p.retry, p.decided = next.Kind, next.Until, false
		return
	}
	if about := version(&state); p.kind != next.Kind || p.version != about {
		p.kind, p.version, p.since = next.Kind, about, now
	}
	p.decided = true
	if d.due(service, p, now) {
		d.start(ctx, service, p, next)
	}
}

// due tells whether it is this entry's turn, and a slot for a call is free.
func (d *Duty) due(service ident.ServiceName, p *pending, now time.Time) bool {
	if len(d.actions) == maxActions {
		return false
	}
	rank := settings.Rank(service.ID(), d.mesh.Self().ID, d.readers)
	return rank >= 0 && !now.Before(p.since.Add(settings.RankDelay(rank)))
}

// version tells steps apart: it changes when another duty holder or an operator did something.
func version(s *settings.State) uint64 {
	v := s.Status.Version
	if s.Spec != nil {
		v = max(v, s.Spec.Version)
	}
	if s.Newest != nil {
		v = max(v, s.Newest.SourceVersion)
	}
	return v
}

// start makes the step's call in the background, if a slot is free.
func (d *Duty) start(ctx context.Context, service ident.ServiceName, p *pending, next settings.Step) {
	select {
	case d.actions <- struct{}{}:
	default:
		return
	}
	p.running = true
	write := d.write(service, &next)
	cache := d.cache
	go func() {
		version, err := d.client.Put(ctx, write)
		var current *objectapi.Object
		if conflict := (*objectapi.ConflictError)(nil); errors.As(err, &conflict) {
			current = d.reread(ctx, write.Path)
		}
		<-d.actions
		d.post(ctx, func() {
			if cache == d.cache {
				d.finish(ctx, service, &next, version, err, current)
			}
		})
	}()
}

func (d *Duty) write(service ident.ServiceName, next *settings.Step) objectapi.Write {
	w := objectapi.Write{If: objectapi.AtVersion(next.IfVersion), Writer: d.mesh.Self().Name, ID: objectapi.NewWriteID()}
	switch next.Kind {
	case settings.ClaimID:
		w.If = objectapi.Absent()
		w.Path = settings.IDPath(service.ID())
		w.Value = objects.ID{Service: service.String()}
	case settings.ClaimAddress, settings.ReleaseAddress:
		w.Path = settings.AddressPath(next.Address.Address)
		w.Value = objects.FromAddress(&next.Address)
	case settings.AcceptRevision:
		next.Revision.WriteID = w.ID
		w.Path = settings.AcceptedPath(service)
		w.Value = objects.FromRevision(&next.Revision, w.Writer)
	case settings.RecordRevision:
		w.If = objectapi.Absent()
		w.Path = settings.RevisionPath(service, next.Revision.Number)
		w.Value = objects.FromRevision(&next.Revision, d.cache.entry(service).newestBy)
	case settings.WriteStatus:
		w.Path = settings.StatusPath(service)
		w.Value = objects.FromStatus(&next.Status)
	}
	return w
}

// reread returns the object that won a conflict, so that the next step starts from it and not from what a slow watch has shown.
func (d *Duty) reread(ctx context.Context, path string) *objectapi.Object {
	o, err := d.client.Get(ctx, path)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) || o.Version == 0 {
		return nil
	}
	return &o
}

// finish takes in the outcome of a step.
func (d *Duty) finish(ctx context.Context, service ident.ServiceName, next *settings.Step, version uint64, err error,
	current *objectapi.Object) {
	p := d.pending[service]
	p.running, p.decided = false, false
	conflict := (*objectapi.ConflictError)(nil)
	switch {
	case err == nil:
		p.backoff = 0
		d.done(service, next, version)
	case errors.As(err, &conflict) && next.Kind == settings.RecordRevision:
		p.backoff = 0
		d.recorded(service, &next.Revision, current)
	case errors.As(err, &conflict) && next.Kind == settings.ClaimID && current != nil:
		p.backoff = 0
		d.idClaimed(service, current)
	case errors.As(err, &conflict):
		d.counters.conflicts.Inc()
		d.postpone(p)
		if current != nil {
			d.merge("", objectapi.Listing{Objects: []objectapi.Object{*current}})
		}
	default:
		d.counters.failures.Inc()
		d.postpone(p)
		_ = level.Warn(d.logger).Log(logging.KeyMessage, next.Kind, logging.KeyService, service, logging.KeyError, err)
	}
	d.step(ctx, service, time.Now())
}

func (d *Duty) postpone(p *pending) {
	p.backoff = min(max(2*p.backoff, firstBackoff), maxBackoff)
	p.retry = time.Now().Add(p.backoff)
}

// recorded notes that a revision is in the history, which another holder may have done.
func (d *Duty) recorded(service ident.ServiceName, r *record.Revision, found *objectapi.Object) {
	if found == nil {
		return // not read back yet: the step is repeated
	}
	if there, err := objects.ParseRevision(service, *found); err != nil || there.WriteID != r.WriteID {
		d.counters.invalid.Inc()
		_ = level.Error(d.logger).Log(logging.KeyMessage, "the history holds another revision under this number",
			logging.KeyService, service, logging.KeyRevision, r.Number)
	}
	e := d.cache.entry(service)
	e.recorded = max(e.recorded, r.Number)
}

// idClaimed notes who claimed the service's id before, which may have been another holder for the same service.
func (d *Duty) idClaimed(service ident.ServiceName, found *objectapi.Object) {
	holder, err := objects.ParseID(*found)
	if err != nil {
		d.counters.invalid.Inc()
		_ = level.Error(d.logger).Log(logging.KeyMessage, "holder of the service id", logging.KeyService, service, logging.KeyError, err)
		return
	}
	d.cache.entry(service).idHolder = holder
}

// done takes in the object that this entry wrote, without waiting for the watch.
func (d *Duty) done(service ident.ServiceName, next *settings.Step, version uint64) {
	e := d.cache.entry(service)
	switch next.Kind {
	case settings.ClaimID:
		e.idHolder = service
	case settings.ClaimAddress, settings.ReleaseAddress:
		written := next.Address
		written.Version = version
		if known := d.cache.addresses[written.Address]; known == nil || known.version < version {
			d.cache.hold(written.Address, &written, version)
		}
	case settings.AcceptRevision:
		d.counters.accepted.Inc()
		_ = level.Info(d.logger).Log(logging.KeyMessage, "revision accepted", logging.KeyService, service,
			logging.KeyRevision, next.Revision.Number)
		if settings.IsNewerRevision(e.newest, &next.Revision) { // else the watch was faster than the answer
			e.newestVersion, e.newestDeleted = version, false
			d.cache.adopt(e, &next.Revision, d.mesh.Self().Name)
			d.publish(service)
		}
	case settings.RecordRevision:
		e.recorded = max(e.recorded, next.Revision.Number)
	case settings.WriteStatus:
		if next.Refused {
			d.counters.refused.Inc()
			_ = level.Info(d.logger).Log(logging.KeyMessage, "spec refused", logging.KeyService, service,
				logging.KeyReason, next.Status.Reason)
		}
		if e.statusVersion < version {
			e.status, e.statusVersion, e.statusWriter = next.Status, version, d.mesh.Self().Name
			e.status.Version = version
		}
	}
}

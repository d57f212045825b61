package controller

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

// stepService performs the next step of a service if it is due at this entry's rank. It removes the
// service from the pending ones when no step is left.
func (c *Controller) stepService(ctx context.Context, service ident.ServiceName, now time.Time) {
	p := c.pending[service]
	if p.running || now.Before(p.retryAt) || (p.upToDate && !c.isTurn(service, p, now)) {
		return
	}
	state := c.cache.state(service, now)
	if count := c.counts[service]; count != nil {
		state.Progress = count.progress()
	}
	next := settings.NextStep(state)
	if next.Kind == settings.NoStep {
		delete(c.pending, service)
		return
	}
	if next.Kind == settings.Wait {
		p.kind, p.retryAt, p.upToDate = next.Kind, next.Until, false
		return
	}
	if current := stateVersion(&state); p.kind != next.Kind || p.version != current {
		p.kind, p.version, p.since = next.Kind, current, now
	}
	p.upToDate = true
	if c.isTurn(service, p, now) {
		c.startStep(ctx, service, p, next)
	}
}

// isTurn reports whether this entry's rank is due, and a slot for a call is free.
func (c *Controller) isTurn(service ident.ServiceName, p *pendingStep, now time.Time) bool {
	if len(c.actionSlots) == maxActions {
		return false
	}
	rank := settings.Rank(service.ID(), c.mesh.Self().ID, c.readers)
	return rank >= 0 && !now.Before(p.since.Add(settings.RankDelay(rank)))
}

// stateVersion returns the newest version in a state. It changes when another controller or an
// operator has written an object, so that the delay by rank starts again.
func stateVersion(s *settings.State) uint64 {
	v := s.Status.Version
	if s.Spec != nil {
		v = max(v, s.Spec.Version)
	}
	if s.Newest != nil {
		v = max(v, s.Newest.SourceVersion)
	}
	return v
}

// startStep makes the call of a step in the background if a slot is free.
func (c *Controller) startStep(ctx context.Context, service ident.ServiceName, p *pendingStep, next settings.Step) {
	select {
	case c.actionSlots <- struct{}{}:
	default:
		return
	}
	p.running = true
	write := c.writeFor(service, &next)
	cache := c.cache
	go func() {
		version, err := c.client.Put(ctx, write)
		var current *objectapi.Object
		if conflict := (*objectapi.ConflictError)(nil); errors.As(err, &conflict) {
			current = c.reread(ctx, write.Path)
		}
		<-c.actionSlots
		c.post(ctx, func() {
			if cache == c.cache {
				c.finishStep(ctx, service, &next, version, err, current)
			}
		})
	}()
}

func (c *Controller) writeFor(service ident.ServiceName, next *settings.Step) objectapi.Write {
	w := objectapi.Write{If: objectapi.AtVersion(next.IfVersion), Writer: c.mesh.Self().Name,
		ID: objectapi.NewWriteID()}
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
		w.Value = objects.FromRevision(&next.Revision, c.cache.objectsOf(service).acceptedBy)
	case settings.WriteStatus:
		w.Path = settings.StatusPath(service)
		w.Value = objects.FromStatus(&next.Status)
	}
	return w
}

// reread returns the object that caused a conflict, so that the next step is based on it and not on
// the older state of a slow watch.
func (c *Controller) reread(ctx context.Context, path string) *objectapi.Object {
	o, err := c.client.Get(ctx, path)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) || o.Version == 0 {
		return nil
	}
	return &o
}

// finishStep processes the outcome of a step.
func (c *Controller) finishStep(ctx context.Context, service ident.ServiceName, next *settings.Step,
	version uint64, err error, current *objectapi.Object) {
	p := c.pending[service]
	p.running, p.upToDate = false, false
	conflict := (*objectapi.ConflictError)(nil)
	switch {
	case err == nil:
		p.backoff = 0
		c.recordWrite(service, next, version)
	case errors.As(err, &conflict) && next.Kind == settings.RecordRevision:
		p.backoff = 0
		c.recordHistory(service, &next.Revision, current)
	case errors.As(err, &conflict) && next.Kind == settings.ClaimID && current != nil:
		p.backoff = 0
		c.recordIDHolder(service, current)
	case errors.As(err, &conflict):
		c.counters.conflicts.Inc()
		c.postpone(p)
		if current != nil {
			c.mergeListing("", objectapi.Listing{Objects: []objectapi.Object{*current}})
		}
	default:
		c.counters.failures.Inc()
		c.postpone(p)
		_ = level.Warn(c.logger).Log(logging.KeyMessage, next.Kind, logging.KeyService, service, logging.KeyError, err)
	}
	c.stepService(ctx, service, time.Now())
}

func (c *Controller) postpone(p *pendingStep) {
	p.backoff = min(max(2*p.backoff, firstBackoff), maxBackoff)
	p.retryAt = time.Now().Add(p.backoff)
}

// recordHistory records that a revision is in the history. Another controller may have written it.
func (c *Controller) recordHistory(service ident.ServiceName, r *record.Revision, found *objectapi.Object) {
	if found == nil {
		return // not read back; the step is repeated
	}
	if there, err := objects.ParseRevision(service, *found); err != nil || there.WriteID != r.WriteID {
		c.counters.invalid.Inc()
		_ = level.Error(c.logger).Log(logging.KeyMessage, "the history holds another revision under this number",
			logging.KeyService, service, logging.KeyRevision, r.Number)
	}
	e := c.cache.objectsOf(service)
	e.recordedNumber = max(e.recordedNumber, r.Number)
}

// recordIDHolder records the service that claimed the id, which another controller may have done
// for the same service.
func (c *Controller) recordIDHolder(service ident.ServiceName, found *objectapi.Object) {
	holder, err := objects.ParseID(*found)
	if err != nil {
		c.counters.invalid.Inc()
		_ = level.Error(c.logger).Log(logging.KeyMessage, "invalid object of the service id",
			logging.KeyService, service, logging.KeyError, err)
		return
	}
	c.cache.objectsOf(service).idHolder = holder
}

// recordWrite applies an object that this entry wrote, without waiting for the watch.
func (c *Controller) recordWrite(service ident.ServiceName, next *settings.Step, version uint64) {
	e := c.cache.objectsOf(service)
	switch next.Kind {
	case settings.ClaimID:
		e.idHolder = service
	case settings.ClaimAddress, settings.ReleaseAddress:
		written := next.Address
		written.Version = version
		if cached := c.cache.addresses[written.Address]; cached == nil || cached.version < version {
			c.cache.setAddress(written.Address, &written, version)
		}
	case settings.AcceptRevision:
		c.counters.accepted.Inc()
		_ = level.Info(c.logger).Log(logging.KeyMessage, "revision accepted", logging.KeyService, service,
			logging.KeyRevision, next.Revision.Number)
		if settings.IsNewerRevision(e.newest, &next.Revision) { // else the watch delivered it before the response
			e.acceptedVersion, e.acceptedDeleted = version, false
			c.cache.setNewest(e, &next.Revision, c.mesh.Self().Name)
			c.publish(service)
		}
	case settings.RecordRevision:
		e.recordedNumber = max(e.recordedNumber, next.Revision.Number)
	case settings.WriteStatus:
		if next.Refused {
			c.counters.refused.Inc()
			_ = level.Info(c.logger).Log(logging.KeyMessage, "spec refused", logging.KeyService, service,
				logging.KeyReason, next.Status.Reason)
		}
		if e.statusVersion < version {
			e.status, e.statusVersion, e.statusWriter = next.Status, version, c.mesh.Self().Name
			e.status.Version = version
		}
	}
}

package duty

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

// listRetryInterval is the time between attempts to list the store at the start, in addition to the
// retries of the client.
const listRetryInterval = time.Second

// startReading lists the store and then watches it. The returned function stops that.
func (d *Controller) startReading(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	d.reset()
	cache := d.cache
	go d.readPrefix(ctx, cache, settings.AddressesPrefix)
	go d.readPrefix(ctx, cache, settings.TeamsPrefix)
	return cancel
}

// readPrefix lists the prefix, then watches it. All changes are merged by the goroutine of Run.
func (d *Controller) readPrefix(ctx context.Context, c *storeCache, prefix string) {
	listing, err := d.client.List(ctx, prefix)
	for err != nil {
		d.recordStoreFailure(err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(listRetryInterval):
		}
		listing, err = d.client.List(ctx, prefix)
	}
	merge := func(l objectapi.Listing) {
		d.post(ctx, func() {
			if c == d.cache {
				d.mergeListing(prefix, l)
			}
		})
	}
	merge(listing)
	d.post(ctx, func() { c.loaded[prefix] = true })
	d.client.Watch(ctx, prefix, listing.Version, merge, d.recordStoreFailure)
}

func (d *Controller) recordStoreFailure(err error) {
	d.counters.failures.Inc()
	_ = level.Warn(d.logger).Log(logging.KeyMessage, "reading the store failed", logging.KeyError, err)
}

// mergeListing merges a listing of a prefix and publishes the newest revision of each service with
// a newer one in it.
func (d *Controller) mergeListing(prefix string, l objectapi.Listing) {
	accepted := map[ident.ServiceName]bool{}
	for _, o := range l.Objects {
		service, newer, err := d.cache.apply(o)
		if err != nil {
			d.counters.invalid.Inc()
			_ = level.Warn(d.logger).Log(logging.KeyMessage, "invalid object", logging.KeyError, err)
		}
		if service != (ident.ServiceName{}) {
			d.markPending(service)
		}
		if newer {
			accepted[service] = true
		}
	}
	if prefix == settings.TeamsPrefix {
		d.cache.teamsVersion = max(d.cache.teamsVersion, l.Version)
	}
	for service := range accepted {
		d.publish(service)
	}
}

// publish disseminates the newest revision of a service and starts the count of the nodes that
// apply it.
func (d *Controller) publish(service ident.ServiceName) {
	r := d.cache.objectsOf(service).newest
	if d.mesh.Publish(record.ForRevision(*r)) {
		d.counters.published.Inc()
	}
	d.startCount(r)
}

// markPending marks a service for evaluation in the next round.
func (d *Controller) markPending(service ident.ServiceName) {
	p := d.pending[service]
	if p == nil {
		d.pending[service] = &pendingStep{}
		return
	}
	p.upToDate = false
	if p.kind == settings.Wait {
		p.retryAt = time.Time{} // the condition that it waited for may have changed
	}
}

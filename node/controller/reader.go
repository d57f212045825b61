package controller

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
func (c *Controller) startReading(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	c.reset()
	cache := c.cache
	go c.readPrefix(ctx, cache, settings.AddressesPrefix)
	go c.readPrefix(ctx, cache, settings.TeamsPrefix)
	return cancel
}

// readPrefix lists the prefix, then watches it. All changes are merged by the goroutine of Run.
func (c *Controller) readPrefix(ctx context.Context, readCache *storeCache, prefix string) {
	listing, err := c.client.List(ctx, prefix)
	for err != nil {
		c.recordStoreFailure(err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(listRetryInterval):
		}
		listing, err = c.client.List(ctx, prefix)
	}
	merge := func(l objectapi.Listing) {
		c.post(ctx, func() {
			if readCache == c.cache {
				c.mergeListing(prefix, l)
			}
		})
	}
	merge(listing)
	c.post(ctx, func() { readCache.loaded[prefix] = true })
	c.client.Watch(ctx, prefix, listing.Version, merge, c.recordStoreFailure)
}

func (c *Controller) recordStoreFailure(err error) {
	c.counters.failures.Inc()
	_ = level.Warn(c.logger).Log(logging.KeyMessage, "reading the store failed", logging.KeyError, err)
}

// mergeListing merges a listing of a prefix and publishes the newest revision of each service with
// a newer one in it.
func (c *Controller) mergeListing(prefix string, l objectapi.Listing) {
	accepted := map[ident.ServiceName]bool{}
	for _, o := range l.Objects {
		service, newer, err := c.cache.apply(o)
		if err != nil {
			c.counters.invalid.Inc()
			_ = level.Warn(c.logger).Log(logging.KeyMessage, "invalid object", logging.KeyError, err)
		}
		if service != (ident.ServiceName{}) {
			c.markPending(service)
		}
		if newer {
			accepted[service] = true
		}
	}
	if prefix == settings.TeamsPrefix {
		c.cache.teamsVersion = max(c.cache.teamsVersion, l.Version)
	}
	for service := range accepted {
		c.publish(service)
	}
}

// publish disseminates the newest revision of a service and starts the count of the nodes that
// apply it.
func (c *Controller) publish(service ident.ServiceName) {
	r := c.cache.objectsOf(service).newest
	if c.mesh.Publish(record.ForRevision(*r)) {
		c.counters.published.Inc()
	}
	c.startCount(r)
}

// markPending marks a service for evaluation in the next round.
func (c *Controller) markPending(service ident.ServiceName) {
	p := c.pending[service]
	if p == nil {
		c.pending[service] = &pendingStep{}
		return
	}
	p.upToDate = false
	if p.kind == settings.Wait {
		p.retryAt = time.Time{} // the condition that it waited for may have changed
	}
}

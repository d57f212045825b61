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

// listRetry is the time between attempts to list the store at the start, on top of those of the client.
const listRetry = time.Second

// startReading reads the store from the beginning and follows it. The returned function ends that.
func (d *Duty) startReading(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	d.reset()
	cache := d.cache
	go d.follow(ctx, cache, settings.AddressesPrefix)
	go d.follow(ctx, cache, settings.TeamsPrefix)
	return cancel
}

// follow lists the prefix, then watches it. Every change goes through the goroutine of Run.
func (d *Duty) follow(ctx context.Context, c *cache, prefix string) {
	listing, err := d.client.List(ctx, prefix)
	for err != nil {
		d.storeFailed(err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(listRetry):
		}
		listing, err = d.client.List(ctx, prefix)
	}
	merge := func(l objectapi.Listing) {
		d.post(ctx, func() {
			if c == d.cache {
				d.merge(prefix, l)
			}
		})
	}
	merge(listing)
	d.post(ctx, func() { c.loaded[prefix] = true })
	d.client.Watch(ctx, prefix, listing.Version, merge, d.storeFailed)
}

func (d *Duty) storeFailed(err error) {
	d.counters.failures.Inc()
	_ = level.Warn(d.logger).Log(logging.KeyMessage, "read the store", logging.KeyError, err)
}

// merge takes in a listing of a prefix and publishes the newest revision of each service in it.
func (d *Duty) merge(prefix string, l objectapi.Listing) {
	accepted := map[ident.ServiceName]bool{}
	for _, o := range l.Objects {
		service, newer, err := d.cache.apply(o)
		if err != nil {
			d.counters.invalid.Inc()
			_ = level.Warn(d.logger).Log(logging.KeyMessage, "object ignored", logging.KeyError, err)
		}
		if service != (ident.ServiceName{}) {
			d.touch(service)
		}
		if newer {
			accepted[service] = true
		}
	}
	if prefix == settings.TeamsPrefix {
		d.cache.teamsAt = max(d.cache.teamsAt, l.Version)
	}
	for service := range accepted {
		d.publish(service)
	}
}

// publish disseminates the newest revision of a service and starts to count how far it is in force.
func (d *Duty) publish(service ident.ServiceName) {
	r := d.cache.entry(service).newest
	if d.mesh.Publish(record.ForRevision(*r)) {
		d.counters.published.Inc()
	}
	d.startCount(r)
}

// touch marks a service for the next look.
func (d *Duty) touch(service ident.ServiceName) {
	p := d.pending[service]
	if p == nil {
		d.pending[service] = &pending{}
		return
	}
	p.decided = false
	if p.kind == settings.Wait {
		p.retry = time.Time{} // what it waited for may have changed
	}
}

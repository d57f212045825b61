// Package controller implements the controller of service settings at an entry. An entry that is
// one of its data centre's store readers reads the store, publishes accepted revisions, and acts
// on specs: it validates and accepts them, counts the nodes that have applied a revision, and
// writes the status.
//
// The controllers for a service are ranked among the store readers of all data centres, as only
// these receive changes at once.
package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/settings"
)

const (
	stepInterval   = 50 * time.Millisecond  // between rounds of pending steps
	maxStepTime    = 10 * time.Millisecond  // per round; a restart leaves steps pending for thousands of services
	roleInterval   = 250 * time.Millisecond // between updates of the set of store readers
	maxActions     = 16                     // concurrent calls to the object API
	eventQueueSize = 1024                   // events queued for the loop of Run
)

// Options configure a Controller.
type Options struct {
	Mesh        peer.Mesh
	PlatformURL string
	Logger      log.Logger
	Metrics     *metrics.Set
}

// Controller is the controller at one entry. Its state belongs to the goroutine of Run.
type Controller struct {
	mesh        peer.Mesh
	client      *objectapi.Client
	logger      log.Logger
	events      chan func()
	actionSlots chan struct{} // one slot per call in progress

	cache         *storeCache
	pending       map[ident.ServiceName]*pendingStep
	counts        map[ident.ServiceName]*applyCount
	countsByQuery map[uint64]*applyCount
	lastQueryID   uint64
	readers       []ident.NodeID
	isReader      bool
	readerGauge   atomic.Bool // isReader, for the metrics
	counters      counters
}

type counters struct {
	accepted  *metrics.Counter
	refused   *metrics.Counter
	published *metrics.Counter
	conflicts *metrics.Counter
	failures  *metrics.Counter
	invalid   *metrics.Counter
	elapsed   *metrics.Histogram
}

// pendingStep is the next step of a service, and since when it is pending at this entry.
type pendingStep struct {
	since    time.Time
	kind     settings.StepKind
	version  uint64 // newest version that the step is based on
	retryAt  time.Time
	backoff  time.Duration
	running  bool
	upToDate bool // kind and since reflect the cached objects
}

// New returns a Controller.
func New(o Options) (*Controller, error) {
	if o.Mesh == nil {
		return nil, errors.New("controller: Mesh is required")
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	client, err := objectapi.New(objectapi.Options{URL: o.PlatformURL, Metrics: o.Metrics})
	if err != nil {
		return nil, err
	}
	c := &Controller{
		mesh:        o.Mesh,
		client:      client,
		logger:      o.Logger,
		events:      make(chan func(), eventQueueSize),
		actionSlots: make(chan struct{}, maxActions),
		counters: counters{
			accepted:  o.Metrics.NewCounter("lacewing_duty_revisions_accepted_total"),
			refused:   o.Metrics.NewCounter("lacewing_duty_specs_refused_total"),
			published: o.Metrics.NewCounter("lacewing_duty_revisions_published_total"),
			conflicts: o.Metrics.NewCounter("lacewing_duty_conflicts_total"),
			failures:  o.Metrics.NewCounter("lacewing_duty_failures_total"),
			invalid:   o.Metrics.NewCounter("lacewing_duty_invalid_objects_total"),
			elapsed:   o.Metrics.NewHistogram("lacewing_duty_in_force_seconds"),
		},
	}
	o.Metrics.NewGauge("lacewing_duty_store_reader", func() float64 {
		if c.readerGauge.Load() {
			return 1
		}
		return 0
	})
	c.reset()
	o.Mesh.HandleControl(c.handleControl)
	return c, nil
}

// reset clears the cache and the state derived from it, before the store is read again.
func (c *Controller) reset() {
	c.cache = newStoreCache()
	c.pending = map[ident.ServiceName]*pendingStep{}
	c.counts = map[ident.ServiceName]*applyCount{}
	c.countsByQuery = map[uint64]*applyCount{}
}

// Run runs the controller until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	stepTicker := time.NewTicker(stepInterval)
	defer stepTicker.Stop()
	roleTicker := time.NewTicker(roleInterval)
	defer roleTicker.Stop()
	stopReading := func() {}
	defer func() { stopReading() }()
	updateRole := func() {
		c.readers = settings.StoreReaders(c.entries())
		isReader := settings.Rank(0, c.mesh.Self().ID, c.readers) >= 0
		if isReader == c.isReader {
			return
		}
		c.isReader = isReader
		c.readerGauge.Store(isReader)
		stopReading()
		stopReading = func() {}
		_ = level.Info(c.logger).Log(logging.KeyMessage, "store reader", logging.KeyState, isReader)
		if isReader {
			stopReading = c.startReading(ctx)
		}
	}
	updateRole()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			event()
		case <-roleTicker.C:
			updateRole()
		case <-stepTicker.C:
			c.performDue(ctx)
		}
	}
}

// post queues an event for the goroutine of Run.
func (c *Controller) post(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// performDue performs pending steps and updates the counts.
func (c *Controller) performDue(ctx context.Context) {
	if !c.isReader || !c.cache.loaded[settings.TeamsPrefix] || !c.cache.loaded[settings.AddressesPrefix] {
		return
	}
	now := time.Now()
	for service := range c.pending {
		c.stepService(ctx, service, now)
		if time.Since(now) > maxStepTime {
			break // map iteration order is random, so no service is starved
		}
	}
	c.updateCounts(now)
}

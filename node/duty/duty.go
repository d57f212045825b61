// Package duty runs an entry's part in settings: it reads the store if the entry is one of its data centre's readers, publishes
// accepted revisions, and performs the control duty: validate, accept, count how far a revision is in force, report status.
//
// The control duty for a service is ranked among the store readers of all data centres, as only they learn of changes at once.
package duty

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
	tick       = 50 * time.Millisecond  // between looks at services with work
	lookTime   = 10 * time.Millisecond  // for one look; after a restart, thousands of services have work
	roleTick   = 250 * time.Millisecond // between looks at who reads the store
	maxActions = 16                     // calls to the object API in progress
	queue      = 1024                   // events that wait for the loop
)

// Options configure a Duty.
type Options struct {
	Mesh        peer.Mesh
	PlatformURL string
	Logger      log.Logger
	Metrics     *metrics.Set
}

// Duty is an entry's part in settings. Its state belongs to the goroutine of Run.
type Duty struct {
	mesh    peer.Mesh
	client  *objectapi.Client
	logger  log.Logger
	events  chan func()
	actions chan struct{} // slots of actions in progress

	cache    *cache
	pending  map[ident.ServiceName]*pending
	counts   map[ident.ServiceName]*count
	queries  map[uint64]*count
	query    uint64
	readers  []ident.NodeID
	reading  bool
	reader   atomic.Bool // reading, for the metrics
	counters counters
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

// pending is the next step of a service, and since when this entry knows that it is due.
type pending struct {
	since   time.Time
	kind    settings.StepKind
	version uint64 // of the spec or status that the step is about
	retry   time.Time
	backoff time.Duration
	running bool
	decided bool // kind and since are up to date with what is known
}

// New returns a Duty.
func New(o Options) (*Duty, error) {
	if o.Mesh == nil {
		return nil, errors.New("duty: a mesh is required")
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
	d := &Duty{
		mesh:    o.Mesh,
		client:  client,
		logger:  o.Logger,
		events:  make(chan func(), queue),
		actions: make(chan struct{}, maxActions),
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
		if d.reader.Load() {
			return 1
		}
		return 0
	})
	d.reset()
	o.Mesh.HandleControl(d.handleControl)
	return d, nil
}

// reset forgets what was read from the store, before it is read anew.
func (d *Duty) reset() {
	d.cache = newCache()
	d.pending = map[ident.ServiceName]*pending{}
	d.counts = map[ident.ServiceName]*count{}
	d.queries = map[uint64]*count{}
}

// Run performs the duty until the context ends.
func (d *Duty) Run(ctx context.Context) error {
	work := time.NewTicker(tick)
	defer work.Stop()
	role := time.NewTicker(roleTick)
	defer role.Stop()
	stopReading := func() {}
	defer func() { stopReading() }()
	assign := func() {
		d.readers = settings.StoreReaders(d.entries())
		reads := settings.Rank(0, d.mesh.Self().ID, d.readers) >= 0
		if reads == d.reading {
			return
		}
		d.reading = reads
		d.reader.Store(reads)
		stopReading()
		stopReading = func() {}
		_ = level.Info(d.logger).Log(logging.KeyMessage, "store reader", logging.KeyState, reads)
		if reads {
			stopReading = d.startReading(ctx)
		}
	}
	assign()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-d.events:
			event()
		case <-role.C:
			assign()
		case <-work.C:
			d.look(ctx)
		}
	}
}

// post passes an event to the goroutine of Run.
func (d *Duty) post(ctx context.Context, event func()) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// look performs what is due.
func (d *Duty) look(ctx context.Context) {
	if !d.reading || !d.cache.loaded[settings.TeamsPrefix] || !d.cache.loaded[settings.AddressesPrefix] {
		return
	}
	now := time.Now()
	for service := range d.pending {
		d.step(ctx, service, now)
		if time.Since(now) > lookTime {
			break // the map's order is random: every service has its turn
		}
	}
	d.countAll(now)
}

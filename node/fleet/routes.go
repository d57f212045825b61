package fleet

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"lacewinglever.dev/node/daemon"
	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/heartbeat"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/storereader"
)

const (
	// routesProcedure is the RPC by which a node fetches routes from another one.
	routesProcedure = "/lacewing.fleet.v1.Fleet/Routes"
	// peerTimeout bounds an RPC between nodes. Routes have a size of some 100 KB.
	peerTimeout = time.Second
	// watchWait is the duration of one watch call without changes. It bounds how long a watch that
	// has stopped delivering changes goes unnoticed.
	watchWait = 1500 * time.Millisecond
	// routesRelistInterval is the interval at which a reader lists the routes instead of watching
	// them. It is half of the shortest history that the store keeps, so that no watch starts before
	// the history.
	routesRelistInterval = 8 * time.Second
	// readerCheckInterval is the interval at which a node decides whether it reads the store.
	readerCheckInterval = 300 * time.Millisecond
	// maxAnnouncedChangeBytes is the size of the largest change that a heartbeat carries, so that
	// the datagram stays below the smallest usual MTU.
	maxAnnouncedChangeBytes = 1000
	// changeFanout is the number of nodes to which each node forwards an announced change, for
	// those that missed the announcement.
	changeFanout = 3
	// maxConcurrentFetches limits the nodes that fetch routes from one node at a time. The smallest
	// links carry 10 Mbit/s.
	maxConcurrentFetches = 2
	// maxUpdateBytes bounds a decompressed update: 13,000 routes have about 1 MB.
	maxUpdateBytes = 16 << 20
)

var errNoNewerRoutes = errors.New("no newer routes are known")

// isReader reports whether this node reads the store on behalf of its data centre.
func (f *Fleet) isReader() bool {
	return storereader.IsReaderAmong(f.Self.ID, f.Roster.Running(Now(), f.Self.DataCentre), f.canReachStore)
}

// canReachStore reports whether a node can read the store, as far as this node knows.
func (f *Fleet) canReachStore(id ident.NodeID) bool {
	if id == f.Self.ID {
		return !f.storeLost.Load()
	}
	p, ok := f.Roster.Find(id)
	return ok && !p.StoreLost
}

// recordRoutesRead records whether the routes could be read. A change is announced, because another node
// of the data centre takes over as reader, or hands the role back.
func (f *Fleet) recordRoutesRead(err error) {
	ok := f.recordStoreResult(err)
	if f.storeLost.Swap(!ok) == ok {
		f.Announce()
	}
}

// readRoutes reads the routes from the store: once at the start, and continuously while this node
// is a reader. A node that has lost the store tries on, so that it can be the reader again.
func (f *Fleet) readRoutes(ctx context.Context) {
	var retry backoff
	reading := false
	for ctx.Err() == nil {
		if f.Routes.Load() != nil && !f.isReader() && !f.storeLost.Load() {
			reading = false
			timing.Sleep(ctx, readerCheckInterval)
			continue
		}
		if !reading {
			reading = true
			at := f.Routes.Position()
			_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "reading routes from the store",
				logging.KeyRevision, at.Revision, logging.KeyVersion, at.Version)
		}
		err := f.followRoutes(ctx)
		if ctx.Err() != nil {
			return
		}
		f.recordRoutesRead(err)
		if err == nil {
			retry.reset()
			continue
		}
		// A discarded history needs a new list only, but must not cause calls without a pause.
		retry.wait(ctx)
	}
}

// followRoutes lists the routes, then watches them until a call fails, the next list is due, the store
// was restored or this node is no longer a reader. A watch that returns nothing must not advance the
// revision from which the next one starts, because it may have missed a change; each starts at a
// revision that was listed or received. A revision in force does not count: it may be of another era
// of the store.
func (f *Fleet) followRoutes(ctx context.Context) error {
	listed, err := f.store.ListRoutes(ctx)
	if err != nil {
		return err
	}
	f.recordRoutesRead(nil)
	if listed.Newest == nil {
		timing.Sleep(ctx, readerCheckInterval) // the operator has not written any routes yet
		return nil
	}
	f.applyStored(&listed, "list")
	if Now()-f.started < readerCheckInterval {
		// After this pause, most nodes that have just started have a heartbeat of another reader.
		timing.Sleep(ctx, readerCheckInterval)
	}
	since := listed.AsOf
	for until := time.Now().Add(routesRelistInterval); time.Now().Before(until) && f.isReader(); {
		changes, err := f.store.WatchRoutes(ctx, since, watchWait)
		if err != nil {
			return err
		}
		if changes.Newest != nil {
			f.applyStored(&changes, "watch")
		}
		since = max(since, changes.LastChange)
		if changes.Era != listed.Era {
			return nil // changes at revisions below since may have been missed
		}
	}
	return nil
}

// applyStored puts routes from the store in force if they are newer, and announces them.
func (f *Fleet) applyStored(stored *platform.RoutesSnapshot, call string) {
	table, faults, err := platform.DecodeRoutes(stored.Newest, stored.Era)
	if err != nil {
		_ = level.Error(f.options.Logger).Log(logging.KeyMessage, "routes rejected", "from", "store",
			logging.KeyError, err)
		return
	}
	if !f.applyTable(table, "store", call) {
		f.logRejectedTable(table, stored, call)
		return
	}
	for _, fault := range faults {
		_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "invalid route skipped", logging.KeyError, fault)
	}
	f.announceRoutes()
}

// logRejectedTable logs that routes from the store are not put in force, unless they are those in
// force.
func (f *Fleet) logRejectedTable(table *routes.Table, stored *platform.RoutesSnapshot, call string) {
	current := f.Routes.Position()
	if current == table.Position || !f.nodeLog.Allow() {
		return
	}
	f.nodeLog.Log("stored routes not applied", logging.KeyReason, "older than those in force",
		logging.KeyRevision, table.Revision, logging.KeyVersion, table.Version, logging.KeyEra, table.Era,
		"as_of", stored.AsOf, "in_force", current, "call", call)
}

// applyTable puts routes in force if they are newer, and returns whether they were.
func (f *Fleet) applyTable(table *routes.Table, from, call string) bool {
	old, ok := f.Routes.Offer(table)
	if !ok {
		return false
	}
	f.formerServices.Record(Now(), old, table)
	_ = level.Info(f.options.Logger).Log(
		logging.KeyMessage, "routes in force", logging.KeyRevision, table.Revision, logging.KeyVersion, table.Version,
		logging.KeyEra, table.Era, "before", old.PositionOrZero(), "routes", len(table.Routes), "from", from, "call", call)
	return true
}

// AppendFormerServices appends the services that the route of a flow has lost lately to services, unless they are in it.
func (f *Fleet) AppendFormerServices(now time.Duration, services []string, flow steering.Flow) []string {
	return f.formerServices.Append(now, services, flow.Service())
}

// KnowsAllAgents reports whether the roster contains all agents that may hold flows and each of them has been heard of. One
// that hasn't may hold flows of a route that doesn't lead to its service any more.
func (f *Fleet) KnowsAllAgents(now time.Duration) bool {
	return f.RosterComplete(now) && !f.Roster.HasUnseenAgent(now)
}

// announceRoutes announces the routes in force by a heartbeat: with their last change if it is
// small, else only with their revision.
func (f *Fleet) announceRoutes() {
	f.pendingChange.Store(f.smallChange())
	f.Announce()
}

// smallChange returns the last change if it fits into a heartbeat, else nil.
func (f *Fleet) smallChange() *fleetv1.RoutesChange {
	c, ok := f.Routes.Latest()
	if !ok {
		return nil
	}
	m := toChange(&c)
	if proto.Size(m) > maxAnnouncedChangeBytes {
		return nil
	}
	return m
}

// handleRoutesChange applies a change that another node announces, and forwards it to a few others.
// A change that does not follow from the routes in force is ignored; fetchRoutes gets those routes.
func (f *Fleet) handleRoutesChange(m *fleetv1.RoutesChange, from string) {
	if base := basePosition(m); base.IsZero() || base != f.Routes.Position() {
		return
	}
	if err := f.applyChange(m, from, "announced"); err != nil {
		f.rejectMessage("routes change", err)
		return
	}
	now := Now()
	all := func(*roster.Peer) bool { return true }
	for _, p := range heartbeat.Sample(changeFanout, f.Roster.Peers(), all, rand.IntN) {
		message := f.heartbeatMessage(now, f.receiverOutsidePlan(now, p.DataCentre, p.Address), false)
		message.Routes = m
		f.sendMessage(p.Address, message)
	}
}

func (f *Fleet) applyChange(m *fleetv1.RoutesChange, from, call string) error {
	c, err := fromChange(m)
	if err != nil {
		return err
	}
	table, err := c.Apply(f.Routes.Load())
	if err != nil {
		return err
	}
	f.applyTable(table, from, call)
	return nil
}

// AreRoutesNewer reports whether another node's routes are newer than own. A node of an older release tells
// only their revision.
func AreRoutesNewer(other, own routes.Position) bool {
	if other.Version == 0 && other.Era == 0 {
		return other.Revision > own.Revision
	}
	return other.NewerThan(own)
}

// fetchRoutes fetches routes from nodes whose heartbeat says that theirs are newer.
func (f *Fleet) fetchRoutes(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: peerTimeout}).DialContext}}
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.fetch:
			if !AreRoutesNewer(p.Routes, f.Routes.Position()) {
				continue
			}
			if err := f.fetchFrom(ctx, client, &p); err != nil && ctx.Err() == nil && f.nodeLog.Allow() {
				f.nodeLog.Log("fetching routes failed", logging.KeyPeer, p.Name, logging.KeyRevision, p.Routes.Revision,
					logging.KeyVersion, p.Routes.Version, logging.KeyError, err)
			}
		}
	}
}

// fetchFrom fetches the changes since the routes in force, and announces them: other nodes may find
// the first nodes with these routes busy, and can then fetch from this one.
func (f *Fleet) fetchFrom(ctx context.Context, client *http.Client, p *roster.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rpc := connect.NewClient[fleetv1.RoutesRequest, wrapperspb.BytesValue](client,
		"http://"+p.Address.String()+routesProcedure)
	err := f.fetchSince(ctx, rpc, f.Routes.Position(), p.Name)
	if errors.Is(err, routes.ErrBaseMismatch) {
		// The routes in force have changed meanwhile, or the node has sent changes to other routes: one
		// of an older release knows routes by their revision alone.
		err = f.fetchSince(ctx, rpc, routes.Position{}, p.Name)
	}
	if err != nil {
		return err
	}
	f.announceRoutes()
	return nil
}

// fetchSince fetches the changes since a position and applies them.
func (f *Fleet) fetchSince(ctx context.Context, rpc *connect.Client[fleetv1.RoutesRequest, wrapperspb.BytesValue],
	since routes.Position, from string) error {
	response, err := rpc.CallUnary(ctx, connect.NewRequest(
		&fleetv1.RoutesRequest{Revision: since.Revision, Era: since.Era, Version: since.Version}))
	if err != nil {
		return err
	}
	update, err := unpack(response.Msg.GetValue())
	if err != nil {
		return err
	}
	for _, c := range update.GetChanges() {
		if err := f.applyChange(c, from, "fetch"); err != nil {
			return err
		}
	}
	return nil
}

// serveRoutes answers other nodes with the changes since their routes. It serves few nodes at a
// time and refuses others, which then turn to one of those that were served. Without the limit, a
// large change would go to all nodes through the link of one.
func (f *Fleet) serveRoutes(ctx context.Context) error {
	return daemon.Serve(ctx, f.options.Settings.Fleet, f.routesHandler())
}

func (f *Fleet) routesHandler() http.Handler {
	var cache updateCache
	mux := http.NewServeMux()
	mux.Handle(routesProcedure, limitConcurrent(maxConcurrentFetches, connect.NewUnaryHandler(routesProcedure,
		func(_ context.Context, r *connect.Request[fleetv1.RoutesRequest]) (*connect.Response[wrapperspb.BytesValue], error) {
			since := routes.Position{Version: r.Msg.GetVersion(), Era: r.Msg.GetEra(), Revision: r.Msg.GetRevision()}
			b, err := cache.get(&f.Routes, since)
			if err != nil {
				return nil, connect.NewError(connect.CodeUnavailable, err)
			}
			return connect.NewResponse(wrapperspb.Bytes(b)), nil
		}, connect.WithCompressMinBytes(math.MaxInt))))
	return mux
}

// limitConcurrent refuses requests beyond n at a time. A request counts until its response is
// written.
func limitConcurrent(n int, h http.Handler) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			http.Error(w, "other nodes are being served", http.StatusServiceUnavailable)
		}
	})
}

// updateCache keeps the last response to a fetch: after a change, most nodes request the changes
// since the same position.
type updateCache struct {
	mu        sync.Mutex
	since, to routes.Position
	packed    []byte
}

func (c *updateCache) get(current *routes.Current, since routes.Position) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed != nil && c.since == since && c.to == current.Position() {
		return c.packed, nil
	}
	changes := current.ChangesSince(since)
	if len(changes) == 0 {
		return nil, errNoNewerRoutes
	}
	update := &fleetv1.RoutesUpdate{}
	for i := range changes {
		update.Changes = append(update.Changes, toChange(&changes[i]))
	}
	packed, err := pack(update)
	if err != nil {
		return nil, err
	}
	c.since, c.to, c.packed = since, changes[len(changes)-1].Position, packed
	return packed, nil
}

// pack encodes and compresses an update.
func pack(update *fleetv1.RoutesUpdate) ([]byte, error) {
	b, err := proto.Marshal(update)
	if err != nil {
		return nil, errors.Wrap(err, "encode routes")
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress routes")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress routes")
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) (*fleetv1.RoutesUpdate, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress routes")
	}
	b, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress routes")
	}
	update := &fleetv1.RoutesUpdate{}
	if err := proto.Unmarshal(b, update); err != nil {
		return nil, errors.Wrap(err, "decode routes")
	}
	return update, nil
}

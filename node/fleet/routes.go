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
	"lacewinglever.dev/policy/audience"
	"lacewinglever.dev/policy/duty"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
)

const (
	// routesProcedure is the RPC with which nodes get the routes of another node.
	routesProcedure = "/lacewing.fleet.v1.Fleet/Routes"
	// peerTimeout bounds an RPC between nodes. Routes have some 100 KB.
	peerTimeout = time.Second
	// watchWait is how long one watch waits. It bounds how long a watch that hears nothing goes unnoticed.
	watchWait = 1500 * time.Millisecond
	// relistRoutes is the interval in which a reader reads the routes instead of watching. It is half of the shortest history that the
	// store keeps, so that watches don't fall out of it.
	relistRoutes = 8 * time.Second
	// readerCheck is the interval in which a node decides whether it reads the store.
	readerCheck = 300 * time.Millisecond
	// announcedChange is the largest change that a heartbeat carries, in bytes, so that it stays below the smallest usual MTU.
	announcedChange = 1000
	// passOnChange is the number of nodes to which each node passes an announced change, for those that missed the announcement.
	passOnChange = 3
	// fetchesAtOnce bounds the nodes that one node serves with routes. The smallest links carry 10 Mbit/s.
	fetchesAtOnce = 2
	// maxUpdate bounds an update, in bytes: 13,000 routes have about 1 MB.
	maxUpdate = 16 << 20
)

var errNothingNewer = errors.New("no newer routes are known")

// isReader tells whether this node reads routes from the store for its data centre.
func (f *Fleet) isReader() bool {
	return duty.IsReader(f.Self.ID, f.Roster.Running(Now(), f.Self.DataCentre))
}

// readRoutes reads the routes from the store: at the start, and for as long as this node is a reader.
func (f *Fleet) readRoutes(ctx context.Context) {
	var pause backoff
	reading := false
	for ctx.Err() == nil {
		if f.Routes.Load() != nil && !f.isReader() {
			reading = false
			timing.Sleep(ctx, readerCheck)
			continue
		}
		if !reading {
			reading = true
			_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "reads routes from the store", logging.KeyRevision, f.Routes.Revision())
		}
		err := f.followRoutes(ctx)
		if ctx.Err() != nil {
			return
		}
		f.noteStore(err)
		if err == nil || errors.Is(err, platform.ErrHistoryGone) {
			pause.reset()
			continue
		}
		pause.wait(ctx)
	}
}

// followRoutes reads the routes, then watches them until a call fails, the next full read is due or this node is no reader any more. Each watch
// starts at a revision that was read in full: a watch that hears nothing for a while must not move it.
func (f *Fleet) followRoutes(ctx context.Context) error {
	listed, err := f.store.ListRoutes(ctx)
	if err != nil {
		return err
	}
	f.noteStore(nil)
	if listed.Newest == nil {
		timing.Sleep(ctx, readerCheck) // the operator has written none yet
		return nil
	}
	f.offerStored(listed.Newest, "list")
	if Now()-f.started < readerCheck {
		timing.Sleep(ctx, readerCheck) // most nodes that have just started hear by then that another one reads
	}
	for until := time.Now().Add(relistRoutes); time.Now().Before(until) && f.isReader(); {
		changes, err := f.store.WatchRoutes(ctx, max(listed.AsOf, f.Routes.Revision()), watchWait)
		if err != nil {
			return err
		}
		if changes.Newest != nil {
			f.offerStored(changes.Newest, "watch")
		}
	}
	return nil
}

// offerStored puts routes from the store in force if they are newer, and announces them to all nodes.
func (f *Fleet) offerStored(encoded []byte, call string) {
	table, faults, err := platform.DecodeRoutes(encoded)
	if err != nil {
		_ = level.Error(f.options.Logger).Log(logging.KeyMessage, "routes refused", "from", "store", logging.KeyError, err)
		return
	}
	if !f.offer(table, "store", call) {
		return
	}
	for _, fault := range faults {
		_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "route left out", logging.KeyError, fault)
	}
	f.announceRoutes()
}

// offer puts routes in force if they are newer, and returns whether they are.
func (f *Fleet) offer(table *routes.Table, from, call string) bool {
	old, ok := f.Routes.Offer(table)
	if !ok {
		return false
	}
	before := uint64(0)
	if old != nil {
		before = old.Revision
	}
	_ = level.Info(f.options.Logger).Log(
		logging.KeyMessage, "routes in force", logging.KeyRevision, table.Revision, "version", table.Version, "before", before,
		"routes", len(table.Routes), "from", from, "call", call)
	return true
}

// announceRoutes sends a heartbeat with the last change, or only its revision if it is large, to all nodes at once.
func (f *Fleet) announceRoutes() {
	f.change.Store(f.smallChange())
	f.Announce()
}

// smallChange returns the last change as it goes into a heartbeat, nil if it is too large.
func (f *Fleet) smallChange() *fleetv1.RoutesChange {
	c, ok := f.Routes.Latest()
	if !ok {
		return nil
	}
	m := toChange(&c)
	if proto.Size(m) > announcedChange {
		return nil
	}
	return m
}

// hearRoutes takes a change that another node announces, and passes it on to a few others. One that does not follow from the routes in force is left to
// fetchRoutes.
func (f *Fleet) hearRoutes(m *fleetv1.RoutesChange, from string) {
	if m.GetBase() == 0 || m.GetBase() != f.Routes.Revision() {
		return
	}
	if err := f.applyChange(m, from, "announced"); err != nil {
		f.malformed.Inc()
		return
	}
	now := Now()
	all := func(*roster.Peer) bool { return true }
	for _, p := range audience.Sample(passOnChange, f.Roster.Peers(), all, rand.IntN) {
		message := f.heartbeat(now, f.seldom(p.DataCentre, p.Address), false)
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
	f.offer(table, from, call)
	return nil
}

// fetchRoutes gets routes from nodes whose heartbeat names newer ones.
func (f *Fleet) fetchRoutes(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: peerTimeout}).DialContext}}
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.fetch:
			if p.Revision <= f.Routes.Revision() {
				continue
			}
			if err := f.fetchFrom(ctx, client, &p); err != nil && ctx.Err() == nil && f.beliefs.Allow() {
				f.beliefs.Log("routes not fetched", logging.KeyPeer, p.Name, logging.KeyRevision, p.Revision, logging.KeyError, err)
			}
		}
	}
}

// fetchFrom gets the changes since the routes in force, and announces them, because others may find the nodes that had them first busy.
func (f *Fleet) fetchFrom(ctx context.Context, client *http.Client, p *roster.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rpc := connect.NewClient[wrapperspb.UInt64Value, wrapperspb.BytesValue](client, "http://"+p.Address.String()+routesProcedure)
	answer, err := rpc.CallUnary(ctx, connect.NewRequest(wrapperspb.UInt64(f.Routes.Revision())))
	if err != nil {
		return err
	}
	update, err := unpack(answer.Msg.GetValue())
	if err != nil {
		return err
	}
	for _, c := range update.GetChanges() {
		if err := f.applyChange(c, p.Name, "fetch"); err != nil {
			return err
		}
	}
	f.announceRoutes()
	return nil
}

// serveRoutes answers other nodes with the changes since their revision. It serves few at a time and refuses others, which then turn to one of those that
// were served: a large change would else leave through the link of a single node.
func (f *Fleet) serveRoutes(ctx context.Context) error {
	var cache updateCache
	mux := http.NewServeMux()
	mux.Handle(routesProcedure, limitConcurrent(fetchesAtOnce, connect.NewUnaryHandler(routesProcedure,
		func(_ context.Context, r *connect.Request[wrapperspb.UInt64Value]) (*connect.Response[wrapperspb.BytesValue], error) {
			b, err := cache.get(&f.Routes, r.Msg.GetValue())
			if err != nil {
				return nil, connect.NewError(connect.CodeUnavailable, err)
			}
			return connect.NewResponse(wrapperspb.Bytes(b)), nil
		}, connect.WithCompressMinBytes(math.MaxInt))))
	return daemon.Serve(ctx, f.options.Settings.Fleet, mux)
}

// limitConcurrent refuses requests beyond n at a time, at once. A request counts until its answer is written.
func limitConcurrent(n int, h http.Handler) http.Handler {
	busy := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case busy <- struct{}{}:
			defer func() { <-busy }()
			h.ServeHTTP(w, r)
		default:
			http.Error(w, "other nodes are being served", http.StatusServiceUnavailable)
		}
	})
}

// updateCache keeps the last answer to a node that lags behind: after a change, most nodes ask for the same.
type updateCache struct {
	mu              sync.Mutex
	since, revision uint64
	packed          []byte
}

func (c *updateCache) get(current *routes.Current, since uint64) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed != nil && c.since == since && c.revision == current.Revision() {
		return c.packed, nil
	}
	changes := current.ChangesSince(since)
	if len(changes) == 0 {
		return nil, errNothingNewer
	}
	update := &fleetv1.RoutesUpdate{}
	for i := range changes {
		update.Changes = append(update.Changes, toChange(&changes[i]))
	}
	packed, err := pack(update)
	if err != nil {
		return nil, err
	}
	c.since, c.revision, c.packed = since, changes[len(changes)-1].Revision, packed
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
	b, err := io.ReadAll(io.LimitReader(r, maxUpdate))
	if err != nil {
		return nil, errors.Wrap(err, "decompress routes")
	}
	update := &fleetv1.RoutesUpdate{}
	if err := proto.Unmarshal(b, update); err != nil {
		return nil, errors.Wrap(err, "decode routes")
	}
	return update, nil
}

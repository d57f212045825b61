package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"lacewinglever.dev/node/daemon"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/duty"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
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
)

// isReader tells whether this node reads routes from the store for its data centre.
func (f *Fleet) isReader() bool {
	now := Now()
	var live []ident.NodeID
	for _, p := range f.Roster.Peers() {
		if p.DataCentre == f.Self.DataCentre && p.Running(now) {
			live = append(live, p.ID)
		}
	}
	return duty.Reads(f.Self.ID, live)
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
	f.offer(listed.Newest, "store", "list")
	for until := time.Now().Add(relistRoutes); time.Now().Before(until) && f.isReader(); {
		changes, err := f.store.WatchRoutes(ctx, max(listed.AsOf, f.Routes.Revision()), watchWait)
		if err != nil {
			return err
		}
		if changes.Newest != nil {
			f.offer(changes.Newest, "store", "watch")
		}
	}
	return nil
}

// offer puts routes in force if they are newer, and tells all nodes.
func (f *Fleet) offer(encoded []byte, from, call string) {
	table, faults, err := platform.DecodeRoutes(encoded)
	if err != nil {
		_ = level.Error(f.options.Logger).Log(logging.KeyMessage, "routes refused", "from", from, logging.KeyError, err)
		return
	}
	old, ok := f.Routes.Offer(table)
	if !ok {
		return
	}
	before := uint64(0)
	if old != nil {
		before = old.Revision
	}
	for _, fault := range faults {
		_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "route left out", logging.KeyError, fault)
	}
	_ = level.Info(f.options.Logger).Log(
		logging.KeyMessage, "routes in force", logging.KeyRevision, table.Revision, "version", table.Version, "before", before,
		"routes", len(table.Routes), "from", from, "call", call)
	f.Announce()
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
			if err := f.fetchFrom(ctx, client, &p); err != nil && ctx.Err() == nil {
				_ = level.Warn(f.options.Logger).Log(
					logging.KeyMessage, "routes not fetched", logging.KeyPeer, p.Name, logging.KeyRevision, p.Revision, logging.KeyError, err)
			}
		}
	}
}

func (f *Fleet) fetchFrom(ctx context.Context, client *http.Client, p *roster.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rpc := connect.NewClient[emptypb.Empty, wrapperspb.BytesValue](client, "http://"+p.Address.String()+routesProcedure)
	answer, err := rpc.CallUnary(ctx, connect.NewRequest(&emptypb.Empty{}))
	if err != nil {
		return err
	}
	f.offer(answer.Msg.GetValue(), p.Name, "fetch")
	return nil
}

// serveRoutes answers other nodes with the routes in force.
func (f *Fleet) serveRoutes(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(routesProcedure, connect.NewUnaryHandler(routesProcedure,
		func(context.Context, *connect.Request[emptypb.Empty]) (*connect.Response[wrapperspb.BytesValue], error) {
			t := f.Routes.Load()
			if t == nil {
				return nil, connect.NewError(connect.CodeUnavailable, errors.New("no routes yet"))
			}
			return connect.NewResponse(wrapperspb.Bytes(t.Encoded)), nil
		}))
	return daemon.Serve(ctx, f.options.Settings.Fleet, mux)
}

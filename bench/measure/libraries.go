package measure

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"lacewinglever.dev/node/entry"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/flow"
	"lacewinglever.dev/policy/gossip"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/membership"
	"lacewinglever.dev/policy/placement"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

// measureLibraries measures the slopes that need no other process.
func measureLibraries(ctx context.Context, r *report) error {
	for _, measure := range []func(context.Context, *report) error{
		measureMessageSizes, measurePushBurst, measureSyncBytes, measureEndedRecords, measureRecordCost,
		measureWatchCost, measureViewCost, measureFlowCost, measurePlacementCost, measureServiceCost,
	} {
		if err := measure(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// measureMessageSizes measures the size of each control datagram, without the 28 bytes of IP and
// UDP headers.
func measureMessageSizes(_ context.Context, r *report) error {
	keys, err := keyring()
	if err != nil {
		return err
	}
	agent := agentNode(1, scaleServices)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }()
	t, err := transport.Open(transport.Options{
		Self: agent.ID, Listen: "127.0.0.1:0", Advertise: agent.UDPAddress, Keys: keys, Metrics: metrics.NewSet(),
	})
	if err != nil {
		return err
	}
	load := &lacewingv1.Load{Connections: 6000, BusySlots: 2, Slots: 3, LatencyUs: 20000, WarmPerMille: 1000}
	heartbeat := &lacewingv1.Heartbeat{
		Service: uint64(agent.Service), Incarnation: uint64(agent.Incarnation), RecordSequence: 2, Load: load,
	}
	ack := &lacewingv1.HeartbeatAck{RecordSequence: 2, KnownState: uint32(record.Ready)}
	gossipMessage := &lacewingv1.Gossip{Records: []*lacewingv1.Record{peer.ToProto(record.ForNode(agent))}}
	settings := &lacewingv1.Gossip{Records: []*lacewingv1.Record{peer.ToProto(record.ForRevision(revision(1)))}}
	for _, m := range []struct {
		name string
		body *lacewingv1.Control
	}{
		{"heartbeat of an agent", &lacewingv1.Control{Body: &lacewingv1.Control_Heartbeat{Heartbeat: heartbeat}}},
		{"heartbeat of an entry", &lacewingv1.Control{Body: &lacewingv1.Control_Heartbeat{
			Heartbeat: &lacewingv1.Heartbeat{Incarnation: uint64(agent.Incarnation), RecordSequence: 1}}}},
		{"heartbeat acknowledgement", &lacewingv1.Control{Body: &lacewingv1.Control_HeartbeatAck{HeartbeatAck: ack}}},
		{"gossip of one node", &lacewingv1.Control{Body: &lacewingv1.Control_Gossip{Gossip: gossipMessage}}},
		{"gossip of one revision", &lacewingv1.Control{Body: &lacewingv1.Control_Gossip{Gossip: settings}}},
		{"applied query", &lacewingv1.Control{Body: &lacewingv1.Control_AppliedQuery{
			AppliedQuery: &lacewingv1.AppliedQuery{Service: uint64(agent.Service), Query: 100}}}},
		{"applied reply", &lacewingv1.Control{Body: &lacewingv1.Control_AppliedReply{
			AppliedReply: &lacewingv1.AppliedReply{Service: uint64(agent.Service), Query: 100, Revision: 3}}}},
	} {
		bytes, err := t.SendControl(socket.LocalAddr().(*net.UDPAddr).AddrPort(), m.body)
		if err != nil {
			return err
		}
		r.add(m.name, 1, "datagram", float64(bytes), "bytes")
	}
	return nil
}

// measurePushBurst measures the virtual time that one entry's queue takes to push a burst of node
// records to three peers, and the bytes sent.
func measurePushBurst(_ context.Context, r *report) error {
	const (
		batchBytes = 1200
		peers      = 3
		interval   = 50 * time.Millisecond
	)
	size := func(x *record.Record) int { return proto.Size(peer.ToProto(*x)) }
	for _, count := range []int{300, 1000, lostTargets + lostEntries} {
		q := gossip.NewQueue()
		for i := range count {
			q.Add(record.ForNode(agentNode(i, scaleServices)))
		}
		start := time.UnixMilli(0)
		now, bytes := start, 0
		for q.Len() > 0 {
			now = now.Add(interval)
			sent := 0
			for _, x := range q.Take(now, batchBytes, size) {
				sent += peers * size(&x)
			}
			q.Spend(sent)
			bytes += sent
		}
		r.add("time to push a burst of node records", float64(count), "records", now.Sub(start).Seconds(), "s")
		r.add("bytes to push a burst of node records", float64(count), "records", float64(bytes), "bytes")
	}
	r.addSlope("time to push a burst of node records")
	return nil
}

// measureSyncBytes measures the bytes of one anti-entropy exchange when one record differs.
func measureSyncBytes(_ context.Context, r *report) error {
	const differing = 1
	for _, divisor := range []int{16, 4, 1} {
		records := fleetRecords(divisor)
		a, b := gossip.NewStore(), gossip.NewStore()
		for _, x := range records {
			a.Merge(x)
			b.Merge(x)
		}
		for i := range differing {
			n := agentNode(i, scaleServices/divisor)
			n.Sequence++
			a.Merge(record.ForNode(n))
		}
		buckets := a.Digests(gossip.Filter{}).Differing(b.Digests(gossip.Filter{}))
		held := a.RecordDigests(gossip.Filter{}, buckets)
		missing, wanted := b.Missing(gossip.Filter{}, buckets, held)
		bytes := 8 * (2*gossip.Buckets + len(held) + len(wanted))
		for _, x := range append(missing, a.Find(gossip.Filter{}, buckets, wanted)...) {
			bytes += proto.Size(peer.ToProto(x))
		}
		r.add("exchange with one record that differs", float64(len(records)), "records", float64(bytes), "bytes")
	}
	r.addSlope("exchange with one record that differs")
	return nil
}

// measureEndedRecords measures how many records of ended nodes a node has at most during days of
// virtual time, if restarted nodes have new names.
func measureEndedRecords(_ context.Context, r *report) error {
	start := time.UnixMilli(1_700_000_000_000)
	for _, days := range []int{1, 3} {
		s := gossip.NewStore()
		most := 0
		for i := range days * endedPerDay {
			now := start.Add(time.Duration(i) * 24 * time.Hour / endedPerDay)
			n := agentNode(i, scaleServices)
			n.State, n.Ended = record.Left, now
			s.Merge(record.ForNode(n))
			if i%100 == 0 {
				s.Expire(now)
			}
			most = max(most, s.Len())
		}
		r.add("most records of ended nodes", float64(days), "days", float64(most), "records")
	}
	return nil
}

// testPeer is a peer with its RPC server that isn't a member of a fleet.
type testPeer struct {
	*peer.Peer
	transport *transport.Transport
	keys      *wire.Keyring
	server    *httptest.Server
	stop      func()
}

func newPeer(self record.Node) (*testPeer, error) {
	keys, err := keyring()
	if err != nil {
		return nil, err
	}
	set := metrics.NewSet()
	t, err := transport.Open(transport.Options{
		Self: self.ID, Listen: "127.0.0.1:0", Advertise: self.UDPAddress, Keys: keys, Metrics: set,
	})
	if err != nil {
		return nil, err
	}
	p, err := peer.New(peer.Options{Self: self, Transport: t, Keys: keys, Logger: log.NewNopLogger(), Metrics: set})
	if err != nil {
		return nil, err
	}
	_, handler := p.Handler()
	out := &testPeer{Peer: p, transport: t, keys: keys, server: httptest.NewServer(handler)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = t.Run(ctx, transport.Handlers{Control: p.ReceiveControl})
		close(done)
	}()
	out.stop = func() {
		cancel()
		<-done
		out.server.Close()
	}
	return out, nil
}

// addRecords transfers records to the peer by Sync RPCs, as a join does. Records received in bulk
// are not queued for other peers.
func (p *testPeer) addRecords(ctx context.Context, records []record.Record) error {
	const batchSize = 2000 // records
	client := lacewingv1connect.NewPeerServiceClient(rpcauth.Client(p.keys, netip.Addr{}), p.server.URL)
	for len(records) > 0 {
		n := min(batchSize, len(records))
		req := &lacewingv1.SyncRequest{Sender: 1}
		for _, x := range records[:n] {
			req.Records = append(req.Records, peer.ToProto(x))
		}
		if _, err := client.Sync(ctx, connect.NewRequest(req)); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// measureRecordCost measures an entry's memory and time per record, and the time of a peer's
// computations over all records.
func measureRecordCost(ctx context.Context, r *report) error {
	for _, divisor := range []int{16, 4, 1} {
		p, err := newPeer(entryNode(0))
		if err != nil {
			return err
		}
		records := fleetRecords(divisor)
		size := float64(len(records))
		before := heapBytes()
		begin := time.Now()
		if err := p.addRecords(ctx, records); err != nil {
			return err
		}
		took := time.Since(begin).Seconds()
		r.add("heap of a peer with all records", size, "records", (heapBytes()-before)/(1<<20), "MB")
		r.add("time to take in all records by Sync", size, "records", took, "s")
		entries := float64(scaleEntries / divisor)
		r.add("list of the live entries", entries, "entries", 1e6*meanSeconds(func() { p.Entries() }), "us")
		r.add("list of the services", float64(scaleServices/divisor), "services",
			1e6*meanSeconds(func() { p.Services() }), "us")
		p.stop()
		runtime.KeepAlive(p)
	}
	for _, q := range []string{
		"heap of a peer with all records", "time to take in all records by Sync", "list of the live entries",
	} {
		r.addSlope(q)
	}
	return nil
}

// measureWatchCost measures the time of one round of failure detection over the watched nodes, and
// of choosing an agent's watchers.
func measureWatchCost(_ context.Context, r *report) error {
	for _, count := range []int{20, 200, 2000} {
		t := membership.NewTracker(entryNode(0))
		var nodes []membership.Watched
		for i := range count {
			nodes = append(nodes, membership.Watched{Node: agentNode(i, scaleServices)})
		}
		now := time.UnixMilli(1)
		t.Watch(now, nodes)
		cost := meanSeconds(func() {
			now = now.Add(100 * time.Millisecond)
			for i := range nodes {
				t.RecordHeartbeat(nodes[i].Node.ID, now)
			}
			t.Tick(now)
		})
		r.add("round of judging watched nodes", float64(count), "nodes", 1e6*cost, "us")
	}
	r.addSlope("round of judging watched nodes")
	for _, count := range []int{39, 390} {
		var local []ident.NodeID
		for i := range count {
			local = append(local, entryNode(i).ID)
		}
		i := 0
		cost := meanSeconds(func() {
			i++
			membership.WatchersOf(ident.NodeID(i), local, nil)
		})
		r.add("choice of a node's watchers", float64(count), "entries of the dc", 1e6*cost, "us")
	}
	return nil
}

func members(count int) []view.Member {
	var out []view.Member
	for i := range count {
		out = append(out, view.Member{Node: agentNode(i, 1), Weight: 1})
	}
	return out
}

// measureViewCost measures the time and memory of a view.
func measureViewCost(_ context.Context, r *report) error {
	service := serviceName(0).ID()
	for _, count := range []int{7, 70, 700, lostTargets} {
		m := members(count)
		full := view.Build(nil, service, view.DefaultSlots, m)
		r.add("view built anew", float64(count), "targets",
			1e6*meanSeconds(func() { view.Build(nil, service, view.DefaultSlots, m) }), "us")
		r.add("view after the loss of a target", float64(count), "targets",
			1e6*meanSeconds(func() { view.Build(full, service, view.DefaultSlots, m[:count-1]) }), "us")
		const copies = 20
		before := heapBytes()
		views := make([]*view.View, copies)
		for i := range views {
			views[i] = view.Build(nil, service, view.DefaultSlots, m)
		}
		r.add("heap of a view", float64(count), "targets", (heapBytes()-before)/copies/1024, "KB")
		runtime.KeepAlive(views)
		hash := uint64(0)
		const lookups = 1 << 16
		r.add("lookup of a home", float64(count), "targets", 1e9/lookups*meanSeconds(func() {
			for range lookups {
				hash += 0x9e3779b97f4a7c15
				full.Home(hash)
			}
		}), "ns")
	}
	r.addSlope("view built anew")
	r.addSlope("view after the loss of a target")
	r.addSlope("heap of a view")
	return nil
}

func caller(i int) ident.Caller {
	var c ident.Caller
	c[10], c[11], c[12], c[13], c[14], c[15] = 0xff, 0xff, 10, byte(i>>24), byte(i>>16), byte(i>>8)
	c[16], c[17] = byte(i), 1
	return c
}

// fixedPlacer is a flow.Placer that places every flow on one agent.
type fixedPlacer ident.NodeID

// Place implements flow.Placer.
func (a fixedPlacer) Place(int) (ident.NodeID, bool) { return ident.NodeID(a), true }

// measureFlowCost measures an agent's memory per flow, and the time per datagram of new and of
// known flows.
func measureFlowCost(_ context.Context, r *report) error {
	service := serviceName(0).ID()
	for _, count := range []int{6250, 25000, 100000, 400000} {
		m := members(1)
		self := m[0].Node.ID
		before := heapBytes()
		table := flow.New(flow.Options{Self: self, Service: service, Placer: fixedPlacer(self), Seed: seed}, 0, time.Minute)
		v := view.Build(nil, service, view.DefaultSlots, m)
		table.SetView(0, v)
		now := flow.SettlingWindow + time.Second
		var out flow.Effects
		table.Tick(now, &out)
		d := flow.Datagram{Service: service, Destination: self, Entry: 1, View: v.Digest}
		meanSecondsPerFlow := func() float64 {
			begin := time.Now()
			for i := range count {
				d.Caller = caller(i)
				out.Reset()
				table.HandleDatagram(now, &d, &out)
			}
			return time.Since(begin).Seconds() / float64(count)
		}
		opened := meanSecondsPerFlow()
		known := meanSecondsPerFlow()
		r.add("heap of the flow table", float64(count), "flows", (heapBytes()-before)/(1<<20), "MB")
		r.add("opening of a flow", float64(count), "flows", 1e9*opened, "ns")
		r.add("datagram of a known flow", float64(count), "flows", 1e9*known, "ns")
		runtime.KeepAlive(table)
	}
	r.addSlope("heap of the flow table")
	return nil
}

// measurePlacementCost measures the time of a round of load reports and of one placement.
func measurePlacementCost(_ context.Context, r *report) error {
	for _, count := range []int{7, 70, lostTargets} {
		m := members(count)
		c := placement.New(m[0].Node.ID, seed)
		reports := make([]placement.Report, count)
		update := func() {
			for i := range reports {
				reports[i] = placement.Report{Node: m[i].Node.ID, Weight: 1, Connections: 2000, WarmPerMille: 1000,
					Eligible: true, Sequence: reports[i].Sequence + 1}
			}
			c.Update(reports)
		}
		r.add("update of the load reports", float64(count), "targets", 1e6*meanSeconds(update), "us")
		r.add("placement of a flow", float64(count), "targets", 1e9*meanSeconds(func() { c.Place(3000) }), "ns")
	}
	r.addSlope("update of the load reports")
	return nil
}

// measureServiceCost measures an entry's memory per service, for a socket with its reader and the
// view of a pool of three, and the time to open the sockets.
func measureServiceCost(ctx context.Context, r *report) error {
	for _, count := range []int{100, 400, 1600} {
		p, err := newPeer(entryNode(0))
		if err != nil {
			return err
		}
		var records []record.Record
		for i := range count {
			records = append(records, record.ForRevision(revision(i)))
		}
		for i := range 3 * count {
			records = append(records, record.ForNode(agentNode(i, count)))
		}
		if err := p.addRecords(ctx, records); err != nil {
			return err
		}
		before := heapBytes()
		e, err := entry.New(entry.Options{
			Mesh: p, Transport: p.transport, Keys: p.keys, ServiceHost: "127.60.0.1", Logger: log.NewNopLogger(),
			Decisions: logging.NewDecisions(log.NewNopLogger()), Metrics: metrics.NewSet(),
		})
		if err != nil {
			return err
		}
		runCtx, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		begin := time.Now()
		go func() { done <- e.Run(runCtx) }()
		for i := range count {
			for e.AppliedRevision(serviceName(i).ID()) == 0 {
				if time.Since(begin) > time.Minute {
					cancel()
					return fmt.Errorf("service %d of %d has no socket", i, count)
				}
				time.Sleep(time.Millisecond)
			}
		}
		r.add("time to open the services' sockets", float64(count), "services", time.Since(begin).Seconds(), "s")
		r.add("heap and stacks of an entry's services", float64(count), "services", (heapBytes()-before)/(1<<20), "MB")
		cancel()
		<-done
		p.stop()
	}
	r.addSlope("time to open the services' sockets")
	r.addSlope("heap and stacks of an entry's services")
	return nil
}

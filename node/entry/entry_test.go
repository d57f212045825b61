package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/connid"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
	"lacewinglever.dev/policy/view"
)

var keyText = "000102030405060708090a0b0c0d0e0f"

// freePort returns a free UDP port of an address that only these tests use, so that no test of another package takes it in between.
func freePort(t testing.TB) string {
	c, err := net.ListenPacket("udp", "127.78.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// freeTCPPort is freePort for TCP.
func freeTCPPort(t testing.TB) string {
	l, err := net.Listen("tcp", "127.78.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// echoAgent is a stand-in for an agent: a node that returns every datagram to its caller.
func echoAgent(t *testing.T, ctx context.Context, name string, service ident.ServiceName, seed string) *peer.Peer {
	key, err := wire.ParseKey(keyText)
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	address, set := freePort(t), metrics.NewSet()
	self := record.Node{
		ID: ident.NewNodeID(name), Name: name, DataCentre: "dc1", UDPAddress: address, RPCAddress: freeTCPPort(t),
		Service: service.ID(), ServiceName: service, State: record.Ready, Weight: 1,
	}
	tr, err := transport.Open(transport.Options{Self: self.ID, Listen: address, Advertise: address, Keys: keys, Metrics: set})
	assert.NilError(t, err)
	p, err := peer.New(peer.Options{Self: self, Transport: tr, Keys: keys, Seeds: []string{seed}, Logger: log.NewNopLogger(), Metrics: set})
	assert.NilError(t, err)
	echo := func(d *wire.Data) {
		back := wire.Data{Service: d.Service, Destination: d.Entry, Caller: d.Caller, Entry: d.Entry, Payload: d.Payload}
		if n, ok := p.Node(d.Entry); ok {
			_, _ = tr.SendData(nil, netip.MustParseAddrPort(n.UDPAddress), wire.TypeReturn, &back)
		}
	}
	go func() { _ = tr.Run(ctx, transport.Handlers{Data: echo, Control: p.ReceiveControl}) }()
	go func() { _ = p.Run(ctx) }()
	return p
}

// answered sends from a new caller and tells whether the echo came from the service's address.
func answered(t *testing.T, address string) bool {
	caller, err := net.Dial("udp", address)
	assert.NilError(t, err)
	defer caller.Close()
	if _, err := caller.Write([]byte("reading 7")); err != nil {
		return false
	}
	buffer := make([]byte, 100)
	_ = caller.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	n, err := caller.Read(buffer)
	return err == nil && string(buffer[:n]) == "reading 7"
}

func waitAnswered(t *testing.T, address string, want bool) {
	t.Helper()
	check := func(poll.LogT) poll.Result {
		if answered(t, address) == want {
			return poll.Success()
		}
		return poll.Continue("%s answered: want %v", address, want)
	}
	poll.WaitOn(t, check, poll.WithTimeout(5*time.Second), poll.WithDelay(50*time.Millisecond))
}

// Guards against datagrams that don't come back from the service's own address, explanations that contradict the forwarding, and services whose sockets don't follow the
// settings: appearing, changing address, being deleted.
func TestServicesFollowSettings(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &Config{Node: config.Node{
		Name: "entry-1", DataCentre: "dc1", Metrics: freeTCPPort(t),
		UDP: config.Address{Listen: freePort(t)}, RPC: config.Address{Listen: freeTCPPort(t)},
		Keys: []config.Key{{ID: 1, Value: keyText}}, SignWith: 1,
	}}
	c.UDP.Advertise, c.RPC.Advertise = c.UDP.Listen, c.RPC.Listen
	program := make(chan error, 1)
	entryCtx, terminate := context.WithCancel(ctx)
	var logs bytes.Buffer
	go func() {
		err := Main(entryCtx, c, &logs)
		if entryCtx.Err() == nil {
			t.Errorf("entry ended: %v", err)
		}
		program <- err
	}()
	t.Cleanup(func() {
		if t.Failed() {
			terminate()
			<-program
			t.Log(logs.String())
		}
	})

	service := ident.ServiceName{Team: "maturacao", Name: "room-control"}
	first, second := freePort(t), freePort(t)
	agent := echoAgent(t, ctx, "agent-1", service, c.RPC.Listen)
	publish := func(number uint64, address string, deleted bool) {
		agent.Publish(record.ForRevision(record.Revision{
			Service: service, Number: number, Spec: []byte("kind: feed\naddress: " + address + "\n"), Accepted: time.Now(), Deleted: deleted,
		}))
	}
	publish(1, first, false)
	waitAnswered(t, first, true)
	key, _ := wire.ParseKey(keyText)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	rpc := lacewingv1connect.NewEntryServiceClient(rpcauth.Client(keys, netip.Addr{}), "http://"+c.RPC.Listen)
	explain := &lacewingv1.ExplainRequest{Service: service.String(), Caller: "127.0.0.1:5000"}
	explained, err := rpc.Explain(ctx, connect.NewRequest(explain))
	assert.NilError(t, err)
	lines := strings.Join(explained.Msg.GetLines(), "\n")
	assert.Assert(t, strings.Contains(lines, "revision 1 bound at "+first) && strings.Contains(lines, "home is agent "+agent.Self().ID.String()), lines)
	status, err := rpc.Status(ctx, connect.NewRequest(&lacewingv1.StatusRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, len(status.Msg.GetRecords()), 3)
	publish(2, second, false)
	waitAnswered(t, second, true)
	waitAnswered(t, first, false)
	publish(3, "not an address", false) // stays at revision 2
	time.Sleep(300 * time.Millisecond)
	waitAnswered(t, second, true)
	publish(4, second, true)
	waitAnswered(t, second, false)
	publish(5, first, false)
	waitAnswered(t, first, true)

	terminate()
	assert.Assert(t, answered(t, first), "forwards after SIGTERM")
	ended := <-program
	program <- ended // for the clean-up
	assert.NilError(t, ended)
	n, _ := agent.Node(ident.NewNodeID("entry-1"))
	assert.Equal(t, n.State, record.Left)
}

// Guards against a reader that borrows its buffers missing datagrams or outliving its socket.
func TestSharedReader(t *testing.T) {
	key, err := wire.ParseKey(keyText)
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	set := metrics.NewSet()
	tr, err := transport.Open(transport.Options{Self: 5, Listen: freePort(t), Keys: keys, Metrics: set})
	assert.NilError(t, err)
	e := &Entry{options: Options{Keys: keys, Transport: tr, Decisions: logging.NewDecisions(log.NewNopLogger())}}
	e.addMetrics(set)
	s := benchService(e, 0, 3, view.DefaultSlots)
	opened, err := e.open(&applied{1, &settings.Spec{}}, netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	s.conn, s.socket = opened.conn, opened.socket
	s.start(1)
	caller, err := net.Dial("udp", s.conn.LocalAddr().String())
	assert.NilError(t, err)
	for i := range uint64(50) {
		_, _ = caller.Write([]byte("reading"))
		if i%2 == 0 { // sometimes two wait
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if e.forwarded.Get() > i {
					return poll.Success()
				}
				return poll.Continue("datagram %d", i)
			}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
		}
	}
	_ = s.conn.Close()
	e.readers.Wait()
}

// benchService makes a service without a socket.
func benchService(e *Entry, number, targets, slots int) *service {
	pool := make([]record.Node, targets)
	for i := range pool {
		name := fmt.Sprint("agent-", number, "-", i)
		pool[i] = record.Node{
			ID: ident.NewNodeID(name), Name: name, DataCentre: "dc1", UDPAddress: "127.0.0.1:9", State: record.Ready, Weight: 1,
		}
	}
	name := ident.ServiceName{Team: "t", Name: fmt.Sprint(number)}
	s := &service{entry: e, id: name.ID(), name: name.String()}
	s.route.Store(newRoute(nil, &settings.Spec{Service: name, HashSlots: slots}, pool))
	return s
}

// BenchmarkDecide measures the forwarding decision, which must not allocate. The bound of 1.5 times compares the first two cases: 7 targets
// alone, and 2,300 targets while 13,000 services are bound. The third spreads the datagrams over all 13,000 services, most of them with 3
// targets, so that every decision finds a cold cache.
func BenchmarkDecide(b *testing.B) {
	e := &Entry{}
	e.addMetrics(metrics.NewSet())
	small := []*service{benchService(e, 0, 7, view.DefaultSlots)}
	large := []*service{benchService(e, 1, 2300, view.MaxSlots)}
	all := slices.Clone(large)
	for len(all) < 13000 {
		all = append(all, benchService(e, len(all)+1, 3, view.DefaultSlots))
	}
	for _, c := range []struct {
		name     string
		services []*service
	}{{"targets=7", small}, {"targets=2300", large}, {"services=13000", all}} {
		b.Run(c.name, func(b *testing.B) {
			payload := make([]byte, 200)
			var d wire.Data
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), uint16(i))
				c.services[i*7919%len(c.services)].decide(&d, from, payload)
			}
		})
	}
}

// Guards against the forwarding decision allocating.
func TestDecideDoesNotAllocate(t *testing.T) {
	e := &Entry{}
	e.addMetrics(metrics.NewSet())
	name := ident.ServiceName{Team: "t", Name: "s"}
	pool := []record.Node{{ID: 1, UDPAddress: "127.0.0.1:9", State: record.Ready}}
	s := &service{entry: e, id: name.ID()}
	s.route.Store(newRoute(nil, &settings.Spec{Service: name, HashSlots: view.DefaultSlots}, pool))
	var d wire.Data
	from := netip.MustParseAddrPort("10.0.0.1:4000")
	payload := make([]byte, 100)
	assert.Equal(t, testing.AllocsPerRun(100, func() { s.decide(&d, from, payload) }), 0.0)
	assert.Equal(t, d.Destination, ident.NodeID(1))
}

// Guards against datagrams of an established connection going to the home when its agent is another, and against a caller choosing the agent.
func TestConnectionRoutedToItsAgent(t *testing.T) {
	key, err := wire.ParseKey(keyText)
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	e := &Entry{options: Options{Keys: keys}}
	e.addMetrics(metrics.NewSet())
	name := ident.ServiceName{Team: "t", Name: "s"}
	spec := &settings.Spec{Service: name, HashSlots: view.DefaultSlots, Kind: settings.KindRequest}
	var pool []record.Node
	for id := ident.NodeID(1); id <= 7; id++ {
		pool = append(pool, record.Node{ID: id, UDPAddress: "127.0.0.1:9", State: record.Ready})
	}
	s := &service{entry: e, id: name.ID()}
	s.route.Store(newRoute(nil, spec, pool))
	from := netip.MustParseAddrPort("10.0.0.1:4000")
	var d wire.Data
	home, _ := s.decide(&d, from, make([]byte, 100))
	for id := ident.NodeID(1); id <= 8; id++ {
		connection, err := connid.NewGenerator(id, 5, keys).GenerateConnectionID()
		assert.NilError(t, err)
		datagram := append([]byte{0x40}, connection.Bytes()...)
		datagram = append(datagram, make([]byte, 30)...)
		want := id
		if id == 8 { // not of the pool
			want = home.id
		}
		assert.Equal(t, testing.AllocsPerRun(10, func() { s.decide(&d, from, datagram) }), 0.0)
		assert.Equal(t, d.Destination, want)
		datagram[connid.Size]++ // the tag
		s.decide(&d, from, datagram)
		assert.Equal(t, d.Destination, home.id)
	}
}

// Guards against four readers with buffers of their own for each of the thousands of services that a joining entry learns in one round.
func TestReadersOfServicesLearntAtOnce(t *testing.T) {
	const count = 3 * manyServices
	key, err := wire.ParseKey(keyText)
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	set := metrics.NewSet()
	self := record.Node{Name: "entry-many", Entry: true, DataCentre: "dc1"}
	tr, err := transport.Open(transport.Options{Self: 6, Listen: freePort(t), Keys: keys, Metrics: set})
	assert.NilError(t, err)
	p, err := peer.New(peer.Options{Self: self, Transport: tr, Keys: keys, Logger: log.NewNopLogger(), Metrics: set})
	assert.NilError(t, err)
	for i := range count {
		name := ident.ServiceName{Team: "t", Name: fmt.Sprint("s", i)}
		text := fmt.Sprintf("kind: feed\naddress: 127.79.0.%d:7001\nidle_timeout: 60s\n", 1+i)
		p.Publish(record.ForRevision(record.Revision{Service: name, Number: 1, Spec: []byte(text)}))
	}
	e, err := New(Options{
		Mesh: p, Transport: tr, Keys: keys, Logger: log.NewNopLogger(), Decisions: logging.NewDecisions(log.NewNopLogger()), Metrics: set,
	})
	assert.NilError(t, err)
	before := runtime.NumGoroutine()
	e.reconcile()
	defer func() {
		for _, s := range *e.services.Load() {
			_ = s.conn.Close()
		}
		e.readers.Wait()
	}()
	assert.Equal(t, len(*e.services.Load()), count)
	want := manyServices*readersEach + (count - manyServices)
	const others = 20 // goroutines of tests that end
	assert.Assert(t, runtime.NumGoroutine()-before <= want+others, "%d goroutines, want %d", runtime.NumGoroutine()-before, want)
}

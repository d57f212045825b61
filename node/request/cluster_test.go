package request

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/connid"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

var (
	service       = ident.ServiceName{Team: "bluestem", Name: "slot-desk"}
	serviceCaller = ident.Caller{0: 0xfd, 15: 9, 17: 80}
)

// cluster is several servers in one process. Datagrams are passed by function calls, RPCs over
// loopback.
type cluster struct {
	t       *testing.T
	keys    *wire.Keyring
	spec    *settings.Spec
	mu      sync.Mutex
	nodes   map[ident.NodeID]record.Node
	order   []ident.NodeID
	members map[string]*member
	clients map[ident.Caller]*packetConn
}

type member struct {
	server *Server
	target *httptest.Server
	rpc    *httptest.Server
}

// fakeMesh is the view of one member. Methods that this package does not use panic on the nil
// interface.
type fakeMesh struct {
	peer.Mesh
	cluster *cluster
	self    record.Node
}

func (m fakeMesh) Self() record.Node { return m.self }

func (m fakeMesh) Node(id ident.NodeID) (record.Node, bool) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	n, ok := m.cluster.nodes[id]
	return n, ok
}

func (m fakeMesh) Pool(ident.ServiceID) []record.Node {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	var pool []record.Node
	for _, id := range m.cluster.order {
		if n := m.cluster.nodes[id]; n.Alive() {
			pool = append(pool, n)
		}
	}
	return pool
}

func (m fakeMesh) IsSuspect(ident.NodeID) bool { return false }

func (m fakeMesh) Load(id ident.NodeID) (*lacewingv1.Load, time.Duration, bool) {
	m.cluster.mu.Lock()
	n := m.cluster.nodes[id]
	member := m.cluster.members[n.Name]
	m.cluster.mu.Unlock()
	if member == nil || member.server == nil {
		return nil, 0, false
	}
	return member.server.options.Load(), 0, true
}

func newCluster(t *testing.T) *cluster {
	key, err := wire.ParseKey("000102030405060708090a0b0c0d0e0f")
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	spec := &settings.Spec{Service: service, Kind: settings.KindRequest, Deadline: 2 * time.Second}
	spec.NonIdempotent = []settings.Rule{{Method: "POST", Path: "/book"}}
	return &cluster{
		t: t, keys: keys, spec: spec,
		nodes:   map[ident.NodeID]record.Node{},
		members: map[string]*member{},
		clients: map[ident.Caller]*packetConn{},
	}
}

// add starts an agent whose target is the handler.
func (c *cluster) add(name string, slots int, handler http.HandlerFunc) *member {
	t := c.t
	m := &member{target: httptest.NewServer(handler)}
	var mux http.ServeMux
	m.rpc = httptest.NewServer(&mux)
	self := record.Node{
		ID: ident.NewNodeID(name), Name: name, DataCentre: "dc1", Service: service.ID(), State: record.Ready, Weight: 1,
		Incarnation: ident.Incarnation(time.Now().UnixMicro()),
		RPCAddress:  strings.TrimPrefix(m.rpc.URL, "http://"),
	}
	server, err := New(Options{
		Mesh: fakeMesh{cluster: c, self: self}, Keys: c.keys, Service: service,
		Settings:  func() *settings.Spec { return c.spec },
		TargetURL: m.target.URL, Slots: slots, Return: c.toClient, Logger: log.NewNopLogger(), Metrics: metrics.NewSet(),
	})
	assert.NilError(t, err)
	path, rpcs := server.Handler(nil)
	mux.Handle(path, rpcauth.Handler(c.keys, rpcs))
	c.mu.Lock()
	defer c.mu.Unlock()
	m.server = server
	c.nodes[self.ID] = self
	c.order = append(c.order, self.ID)
	c.members[name] = m
	t.Cleanup(func() {
		_ = server.Close()
		m.rpc.CloseClientConnections()
		m.rpc.Close()
		m.target.CloseClientConnections()
		m.target.Close()
	})
	return m
}

func (c *cluster) setState(name string, s record.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[ident.NewNodeID(name)]
	n.State = s
	c.nodes[n.ID] = n
}

// leave records that an agent has left with this successor, and closes its RPC connections.
func (c *cluster) leave(name string, to record.Successor) {
	c.setState(name, record.Left)
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[ident.NewNodeID(name)]
	n.Successor = to
	c.nodes[n.ID] = n
	c.members[name].rpc.CloseClientConnections()
}

func (c *cluster) toClient(caller ident.Caller, payload []byte) error {
	c.mu.Lock()
	conn := c.clients[caller]
	c.mu.Unlock()
	if conn != nil {
		conn.deliver(serviceCaller, payload)
	}
	return nil
}

// client returns an HTTP/3 client whose first packets go to the member home. Later packets go to
// the member that their connection ID names.
func (c *cluster) client(home string) *http.Client {
	t := c.t
	c.mu.Lock()
	caller := ident.Caller{0: 0xfd, 15: 1, 16: byte(len(c.clients)) + 1}
	conn := newPacketConn(func(_ ident.Caller, payload []byte) error {
		c.mu.Lock()
		to := c.members[home]
		if id, ok := connid.FromDatagram(c.keys, payload); ok {
			to = c.members[c.nodes[id.Agent].Name]
		}
		c.mu.Unlock()
		to.server.Deliver(caller, payload)
		return nil
	})
	c.clients[caller] = conn
	c.mu.Unlock()
	quicTransport := &quic.Transport{Conn: conn}
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}},
		Dial: func(ctx context.Context, _ string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
			return quicTransport.DialEarly(ctx, net.UDPAddrFromAddrPort(serviceCaller.AddrPort()), tlsConfig, config)
		},
	}
	t.Cleanup(func() {
		_ = transport.Close()
		_ = quicTransport.Close()
	})
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

type answer struct {
	status  int
	outcome string
	body    string
	header  http.Header
}

// do sends a request given as "METHOD /path", with pairs of header names and values.
func (c *cluster) do(client *http.Client, line string, headers ...string) answer {
	c.t.Helper()
	method, path, _ := strings.Cut(line, " ")
	r, err := http.NewRequest(method, "https://slot-desk.example"+path, strings.NewReader("body"))
	assert.NilError(c.t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w, err := client.Do(r)
	assert.NilError(c.t, err)
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	assert.NilError(c.t, err)
	return answer{status: w.StatusCode, outcome: w.Header.Get(HeaderOutcome), body: string(body), header: w.Header}
}

// named answers with the target's name and the request line.
func named(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprintf(w, "%s %s %s", name, r.Method, r.URL) }
}

package agent_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/agent"
	"lacewinglever.dev/node/entry"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

const nodeText = `
name: %s
data_centre: dc1
udp: {listen: %s}
rpc: {listen: %s}
metrics: %s
seeds: [%s]
keys: [{id: 1, value: 000102030405060708090a0b0c0d0e0f}]
sign_with: 1
log_level: warn
`

// freeAddress returns an address with a port that is free for TCP and UDP. Its host is used by
// these tests only, so no other process can take the port in between.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.79.0.1:0")
		assert.NilError(t, err)
		address := l.Addr().String()
		c, err := net.ListenPacket("udp", address)
		assert.NilError(t, l.Close())
		if err == nil {
			assert.NilError(t, c.Close())
			return address
		}
	}
}

func writeSettings(t *testing.T, name, seed, rpc, rest string) string {
	t.Helper()
	text := fmt.Sprintf(nodeText, name, freeAddress(t), rpc, freeAddress(t), seed) + rest
	path := filepath.Join(t.TempDir(), name+".yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// publish runs an entry that has accepted a revision, in place of the controller and the platform.
func (c *cluster) publish(r record.Revision) {
	key, err := wire.ParseKey("000102030405060708090a0b0c0d0e0f")
	assert.NilError(c.t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(c.t, err)
	set, address := metrics.NewSet(), freeAddress(c.t)
	self := record.Node{
		ID: ident.NewNodeID("publisher"), Name: "publisher", Entry: true, DataCentre: "dc1", UDPAddress: address,
		RPCAddress: address, State: record.Ready,
	}
	tr, err := transport.Open(transport.Options{Self: self.ID, Listen: address, Advertise: address, Keys: keys,
		Metrics: set})
	assert.NilError(c.t, err)
	mesh, err := peer.New(peer.Options{
		Self: self, Transport: tr, Keys: keys, Seeds: []string{c.seed}, Logger: log.NewNopLogger(), Metrics: set,
	})
	assert.NilError(c.t, err)
	c.running.Go(func() { assert.Check(c.t, tr.Run(c.ctx, transport.Handlers{Control: mesh.ReceiveControl})) })
	c.running.Go(func() { assert.Check(c.t, mesh.Run(c.ctx)) })
	mesh.Publish(record.ForRevision(r))
}

// cluster runs an entry and agents like their programs, in one process.
type cluster struct {
	t       *testing.T
	service string
	seed    string
	ctx     context.Context
	running sync.WaitGroup
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, service: freeAddress(t), seed: freeAddress(t)}
	ctx, stop := context.WithCancel(context.Background())
	c.ctx = ctx
	t.Cleanup(func() {
		stop()
		c.running.Wait()
	})
	config, err := entry.LoadConfig(writeSettings(t, "entry-1", c.seed, c.seed, ""))
	assert.NilError(t, err)
	c.running.Go(func() { assert.Check(t, entry.Main(ctx, config, t.Output())) })
	revision := record.Revision{
		Service: ident.ServiceName{Team: "maturacao", Name: "room-control"}, Number: 1,
		Spec: []byte("kind: feed\naddress: " + c.service + "\nidle_timeout: 30s\nwarm_up: 1s\n"),
	}
	c.publish(revision)
	return c
}

// agent runs an agent whose target answers with its name. It returns a function that stops the
// agent gracefully.
func (c *cluster) agent(name string) func() {
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(c.t, err)
	go func() {
		buffer := make([]byte, 2048)
		for {
			_, from, err := target.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = target.WriteToUDPAddrPort([]byte(name+" "+from.String()), from)
		}
	}()
	rest := "service: maturacao/room-control\ndrain_timeout: 3s\ntarget: {udp: \"" + target.LocalAddr().String() + "\", slots: 3}\n"
	config, err := agent.LoadConfig(writeSettings(c.t, name, c.seed, freeAddress(c.t), rest))
	assert.NilError(c.t, err)
	ctx, stop := context.WithCancel(c.ctx)
	ended := make(chan struct{})
	c.running.Go(func() {
		defer close(ended)
		assert.Check(c.t, agent.Main(ctx, config, c.t.Output(), nil))
		_ = target.Close()
	})
	return func() {
		stop()
		<-ended
	}
}

// caller is one flow.
type caller struct {
	conn   *net.UDPConn
	target string // first answer received
}

func (c *cluster) caller() *caller {
	address, err := net.ResolveUDPAddr("udp4", c.service)
	assert.NilError(c.t, err)
	conn, err := net.DialUDP("udp4", nil, address)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	return &caller{conn: conn}
}

// exchange sends datagrams until one is answered, for 3 s at most.
func (c *caller) exchange() string {
	buffer := make([]byte, 2048)
	for range 15 {
		_, _ = c.conn.Write([]byte("reading"))
		_ = c.conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if n, err := c.conn.Read(buffer); err == nil {
			return string(buffer[:n])
		}
	}
	return ""
}

func (c *caller) check(t *testing.T, when string) {
	t.Helper()
	answer := c.exchange()
	if c.target == "" {
		c.target = answer
	}
	assert.Assert(t, answer != "", "no answer %s", when)
	assert.Equal(t, answer, c.target, when)
}

// Guards against programs that do not work together: callers without answers, and flows that a join
// or a leave moves to another target.
func TestFlowsSurviveJoinAndLeave(t *testing.T) {
	c := newCluster(t)
	stops := map[string]func(){}
	for _, name := range []string{"agent-1", "agent-2", "agent-3"} {
		stops[name] = c.agent(name)
	}
	time.Sleep(3 * time.Second)
	callers := make([]*caller, 40)
	for i := range callers {
		callers[i] = c.caller()
		callers[i].check(t, "at first")
	}
	c.agent("agent-4")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
		for _, one := range callers {
			one.check(t, "during the join")
		}
	}
	left := make(chan struct{})
	go func() {
		stops["agent-1"]()
		close(left)
	}()
	time.Sleep(500 * time.Millisecond)
	for range 20 {
		one := c.caller()
		one.check(t, "at first during the drain")
		assert.Assert(t, !strings.HasPrefix(one.target, "agent-1 "), "the draining target got a new flow")
		callers = append(callers, one)
	}
	for _, one := range callers {
		one.check(t, "during the drain")
	}
	<-left
	for _, one := range callers {
		if !strings.HasPrefix(one.target, "agent-1 ") {
			one.check(t, "after the leave")
		}
	}
}

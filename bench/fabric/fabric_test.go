package fabric

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/config"
)

// Ports of the tests, below the range of ephemeral ports.
const (
	testEntryPort    = 19001
	testNodePort     = 19002
	testAdminAddress = "127.0.0.1:19003"
)

func startFabric(t *testing.T, links ...Link) *Fabric {
	t.Helper()
	c := Defaults()
	c.Admin = testAdminAddress
	c.Services = []Service{{"team/a", fmt.Sprint("127.250.0.1:", testEntryPort), []string{
		fmt.Sprint("127.1.0.11:", testEntryPort), fmt.Sprint("127.2.0.11:", testEntryPort)}}}
	node := func(dc, host int) Node {
		return Node{Name: fmt.Sprint("node-", dc), DataCentre: fmt.Sprint("dc", dc),
			UDP: config.Address{Listen: fmt.Sprintf("127.%d.0.%d:%d", dc, host, testNodePort),
				Advertise: fmt.Sprintf("127.%d.0.%d:%d", 200+dc, host, testNodePort)},
			RPC: config.Address{Listen: fmt.Sprintf("127.%d.0.%d:%d", dc, host, testNodePort),
				Advertise: fmt.Sprintf("127.%d.0.%d:%d", 200+dc, host, testNodePort)}}
	}
	c.Nodes = []Node{node(1, 21), node(2, 22)}
	c.Links = links
	f := New(c, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		f.close()
	})
	assert.NilError(t, f.start(ctx))
	return f
}

func listen(t *testing.T, address string) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func receive(conn *net.UDPConn, wait time.Duration) (string, netip.AddrPort, bool) {
	b := make([]byte, 2048)
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	n, from, err := conn.ReadFromUDPAddrPort(b)
	return string(b[:n]), from, err == nil
}

// Guards against a caller appearing under different addresses at different entries, and against
// return datagrams that do not have the service's address as their source.
func TestCallerKeepsItsAddress(t *testing.T) {
	startFabric(t, Link{From: CallersEndpoint, To: AnyEndpoint, Delay: time.Millisecond})
	entries := []*net.UDPConn{
		listen(t, fmt.Sprint("127.1.0.11:", testEntryPort)), listen(t, fmt.Sprint("127.2.0.11:", testEntryPort))}
	caller := listen(t, "127.0.0.1:0")
	service := netip.MustParseAddrPort(fmt.Sprint("127.250.0.1:", testEntryPort))
	seen := map[netip.AddrPort]int{}
	perEntry := map[int]int{}
	for range 40 {
		_, err := caller.WriteToUDPAddrPort([]byte("call"), service)
		assert.NilError(t, err)
		for i, e := range entries {
			if text, from, ok := receive(e, 20*time.Millisecond); ok {
				assert.Equal(t, text, "call")
				seen[from]++
				perEntry[i]++
				_, _ = e.WriteToUDPAddrPort([]byte("answer"), from)
				break
			}
		}
		text, from, ok := receive(caller, time.Second)
		assert.Assert(t, ok)
		assert.Equal(t, text, "answer")
		assert.Equal(t, from, service)
	}
	assert.Equal(t, len(seen), 1)
	assert.Equal(t, len(perEntry), 2)
}

// Guards against a link that doesn't keep its delay, its order or its cut. Every measurement
// through the fabric would be wrong.
func TestLinkBetweenNodes(t *testing.T) {
	const delay = 3 * time.Millisecond
	f := startFabric(t, Link{From: "dc1", To: "dc2", Delay: delay, Jitter: time.Millisecond})
	a := listen(t, fmt.Sprint("127.1.0.21:", testNodePort))
	b := listen(t, fmt.Sprint("127.2.0.22:", testNodePort))
	to := netip.MustParseAddrPort(fmt.Sprint("127.202.0.22:", testNodePort))
	const count = 500
	go func() {
		for i := range count {
			_, _ = a.WriteToUDPAddrPort(fmt.Appendf(nil, "%d %d", i, time.Now().UnixNano()), to)
			time.Sleep(200 * time.Microsecond)
		}
	}()
	var total time.Duration
	for want := range count {
		text, _, ok := receive(b, time.Second)
		assert.Assert(t, ok)
		var number int
		var sent int64
		_, err := fmt.Sscan(text, &number, &sent)
		assert.NilError(t, err)
		assert.Equal(t, number, want)
		elapsed := time.Since(time.Unix(0, sent))
		assert.Assert(t, elapsed >= delay, "%v", elapsed)
		total += elapsed
	}
	mean := total / count
	t.Logf("mean one-way delay %v", mean)
	assert.Assert(t, mean < delay+3*time.Millisecond, "mean %v", mean)

	body, err := json.Marshal(Link{From: "node-1", To: "dc2", Cut: true})
	assert.NilError(t, err)
	answer, err := http.Post("http://"+testAdminAddress+"/link", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	_ = answer.Body.Close()
	_, _ = a.WriteToUDPAddrPort([]byte("cut"), to)
	_, _, ok := receive(b, 50*time.Millisecond)
	assert.Assert(t, !ok)
	assert.Equal(t, f.DroppedByCut.Load(), uint64(1))
}

// Guards against TCP connections between nodes that bypass the fabric or are relayed without the
// link's delay. The handshake and the exchange take four one-way delays.
func TestRelayTCP(t *testing.T) {
	const delay = 2 * time.Millisecond
	startFabric(t, Link{From: AnyEndpoint, To: "dc2", Delay: delay})
	server, err := net.Listen("tcp4", fmt.Sprint("127.2.0.22:", testNodePort))
	assert.NilError(t, err)
	defer server.Close()
	go func() {
		conn, err := server.Accept()
		if err != nil {
			return
		}
		b := make([]byte, 4)
		_, _ = conn.Read(b)
		_, _ = conn.Write(b)
		_ = conn.Close()
	}()
	start := time.Now()
	conn, err := net.Dial("tcp4", fmt.Sprint("127.202.0.22:", testNodePort))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("ping"))
	assert.NilError(t, err)
	b := make([]byte, 4)
	_, err = conn.Read(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "ping")
	assert.Assert(t, time.Since(start) >= 4*delay)
}

// Guards against configured loss, duplication or reordering that isn't applied, and against a rule
// for a data centre that overrides the rule for a node.
func TestLinkFaults(t *testing.T) {
	const count = 200
	for name, c := range map[string]struct {
		link     Link
		want     int
		disorder bool
	}{
		"loss":      {Link{Loss: 1}, 0, false},
		"duplicate": {Link{Duplicate: 1}, 2 * count, false},
		"reorder":   {Link{Delay: time.Millisecond, Reorder: 0.2}, count, true},
		"specific":  {Link{Delay: time.Millisecond}, count, false},
	} {
		t.Run(name, func(t *testing.T) {
			c.link.From, c.link.To = "node-1", "node-2"
			startFabric(t, Link{From: "dc1", To: "dc2", Loss: 0.5}, c.link)
			a := listen(t, fmt.Sprint("127.1.0.21:", testNodePort))
			b := listen(t, fmt.Sprint("127.2.0.22:", testNodePort))
			to := netip.MustParseAddrPort(fmt.Sprint("127.202.0.22:", testNodePort))
			// Paced so that the receiver's socket buffer doesn't overflow.
			go func() {
				for i := range count {
					_, _ = a.WriteToUDPAddrPort(fmt.Appendf(nil, "%06d", i), to)
					time.Sleep(100 * time.Microsecond)
				}
			}()
			got, disorder, last := 0, false, ""
			for {
				text, _, ok := receive(b, 100*time.Millisecond)
				if !ok {
					break
				}
				got++
				disorder = disorder || text < last
				last = text
			}
			assert.Equal(t, got, c.want)
			assert.Equal(t, disorder, c.disorder)
		})
	}
}

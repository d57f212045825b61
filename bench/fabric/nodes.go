package fabric

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	dialTimeout     = 5 * time.Second
	cutPollInterval = 10 * time.Millisecond // interval at which a TCP connection checks whether a cut has ended
	maxChunkBytes   = 32 << 10
	// maxQueuedChunks limits the chunks that are queued in one direction of a TCP connection.
	maxQueuedChunks = 64
)

// dataCentreOf returns the name of the data centre of the host 127.n.0.x.
func dataCentreOf(host netip.Addr) string {
	if !host.Is4() {
		return AnyEndpoint
	}
	return fmt.Sprintf("dc%d", host.As4()[1])
}

// startNode relays UDP and TCP from a node's advertised addresses to its listen addresses.
func (f *Fabric) startNode(ctx context.Context, n Node) error {
	to, err := netip.ParseAddrPort(n.UDP.Listen)
	if err != nil {
		return err
	}
	node := &endpoint{names: []string{n.Name, n.DataCentre, AnyEndpoint}}
	f.mu.Lock()
	f.byHost[to.Addr()] = node
	f.mu.Unlock()
	if n.UDP.Advertise != n.UDP.Listen {
		if err := f.relayUDP(ctx, n.UDP.Advertise, to, node); err != nil {
			return err
		}
	}
	if n.RPC.Advertise != n.RPC.Listen {
		return f.relayTCP(ctx, n.RPC.Advertise, n.RPC.Listen, node)
	}
	return nil
}

func (f *Fabric) relayUDP(ctx context.Context, advertise string, to netip.AddrPort, node *endpoint) error {
	s, err := f.listenUDP(advertise)
	if err != nil {
		return err
	}
	go s.receive(ctx, func(b []byte, from netip.AddrPort) {
		f.BetweenNodes.Add(1)
		f.forward(f.links.path(f.endpointOf(from.Addr()), node), b, s, netip.Addr{}, to)
	})
	return nil
}

func (f *Fabric) relayTCP(ctx context.Context, advertise, listen string, node *endpoint) error {
	listener, err := net.Listen("tcp4", advertise)
	if err != nil {
		return err
	}
	f.addCloser(listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if ctx.Err() != nil {
				return
			}
			if err == nil {
				go f.relayConn(ctx, conn, listen, node)
			}
		}
	}()
	return nil
}

// relayConn relays one TCP connection. During a cut it delays bytes and does not lose them, because
// TCP itself would retransmit them.
func (f *Fabric) relayConn(ctx context.Context, client net.Conn, listen string, node *endpoint) {
	defer client.Close()
	f.Connections.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from := f.endpointOf(client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
	c := &relayedConn{client: client, from: from, to: node}
	defer f.openConns.add(c)()
	// The handshake takes one round trip.
	time.Sleep(f.links.path(from, node).link.Delay + f.links.path(node, from).link.Delay)
	f.waitWhileCut(ctx, from, node)
	server, err := net.DialTimeout("tcp4", listen, dialTimeout)
	if err != nil {
		return
	}
	defer server.Close()
	ended := make(chan struct{}, 2)
	go f.relayDirection(ctx, c, client, server, from, node, ended)
	go f.relayDirection(ctx, c, server, client, node, from, ended)
	for range 2 {
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

// chunk is the result of one read and the time at which it leaves the path.
type chunk struct {
	due  time.Time
	data []byte
}

// relayDirection relays one direction of a connection with the path's delay. At the end of the
// input it closes the output for writing.
func (f *Fabric) relayDirection(
	ctx context.Context, c *relayedConn, in, out net.Conn, from, to *endpoint, ended chan<- struct{},
) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, maxChunkBytes)
			n, err := in.Read(b)
			if n > 0 {
				chunks <- chunk{f.links.due(f.links.path(from, to), time.Now()), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for part := range chunks {
		time.Sleep(time.Until(part.due))
		f.waitWhileCut(ctx, from, to)
		// After a reset, responses to the client are lost. The input stays open in that case, so
		// that bytes in flight to the server still arrive.
		if _, err := out.Write(part.data); err != nil && !c.broken.Load() {
			_ = in.Close()
		}
	}
	f.waitWhileCut(ctx, from, to)
	c.delayEOF(ctx)
	_ = out.(*net.TCPConn).CloseWrite()
	ended <- struct{}{}
}

// waitWhileCut returns when the path is not cut or the context ends.
func (f *Fabric) waitWhileCut(ctx context.Context, from, to *endpoint) {
	for f.links.path(from, to).link.Cut && ctx.Err() == nil {
		time.Sleep(cutPollInterval)
	}
}

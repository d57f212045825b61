package fabric

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	cutPoll     = 10 * time.Millisecond // how often a held-back TCP connection looks whether the cut is over
	chunkSize   = 32 << 10
	// maxChunks bounds what one direction of a TCP connection holds back.
	maxChunks = 64
)

// dataCentreOf returns the name of the data centre that 127.n.0.x belongs to.
func dataCentreOf(host netip.Addr) string {
	if !host.Is4() {
		return Any
	}
	return fmt.Sprintf("dc%d", host.As4()[1])
}

// startNode relays UDP and TCP from a node's advertised addresses to its listen addresses.
func (f *Fabric) startNode(ctx context.Context, n Node) error {
	to, err := netip.ParseAddrPort(n.UDP.Listen)
	if err != nil {
		return err
	}
	node := &end{names: []string{n.Name, n.DataCentre, Any}}
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

func (f *Fabric) relayUDP(ctx context.Context, advertise string, to netip.AddrPort, node *end) error {
	s, err := f.listenUDP(advertise)
	if err != nil {
		return err
	}
	go s.receive(ctx, func(b []byte, from netip.AddrPort) {
		f.BetweenNodes.Add(1)
		f.forward(f.links.path(f.endOf(from.Addr()), node), b, s, netip.Addr{}, to)
	})
	return nil
}

func (f *Fabric) relayTCP(ctx context.Context, advertise, listen string, node *end) error {
	listener, err := net.Listen("tcp4", advertise)
	if err != nil {
		return err
	}
	f.closeLater(listener)
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

// relayConn relays one TCP connection. During a cut it holds bytes back, as TCP itself would by sending again.
func (f *Fabric) relayConn(ctx context.Context, near net.Conn, listen string, node *end) {
	defer near.Close()
	f.Connections.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from := f.endOf(near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
	defer f.relays.add(&relayed{near, from, node})()
	// The handshake takes one round trip.
	time.Sleep(f.links.path(from, node).link.Delay + f.links.path(node, from).link.Delay)
	f.waitUncut(ctx, from, node)
	far, err := net.DialTimeout("tcp4", listen, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	ended := make(chan struct{}, 2)
	go f.copy(ctx, near, far, from, node, ended)
	go f.copy(ctx, far, near, node, from, ended)
	for range 2 {
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

type chunk struct {
	due  time.Time
	data []byte
}

// copy passes on what it reads after the path's delay. At the end of the input it closes the output for writing.
func (f *Fabric) copy(ctx context.Context, in, out net.Conn, from, to *end, ended chan<- struct{}) {
	chunks := make(chan chunk, maxChunks)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, chunkSize)
			n, err := in.Read(b)
			if n > 0 {
				chunks <- chunk{f.links.due(f.links.path(from, to), time.Now()), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		f.waitUncut(ctx, from, to)
		if _, err := out.Write(c.data); err != nil {
			_ = in.Close()
		}
	}
	f.waitUncut(ctx, from, to)
	_ = out.(*net.TCPConn).CloseWrite()
	ended <- struct{}{}
}

func (f *Fabric) waitUncut(ctx context.Context, from, to *end) {
	for f.links.path(from, to).link.Cut && ctx.Err() == nil {
		time.Sleep(cutPoll)
	}
}

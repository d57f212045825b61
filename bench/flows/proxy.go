package flows

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is the fault that a proxy applies to its traffic.
type Link string

// Link faults.
const (
	Pass    Link = ""
	Silence Link = "silence" // drops all data; connections stay open
	Cut     Link = "reset"   // resets connections and drops datagrams
	OneWay  Link = "one way" // drops the data of the return direction
	Delay   Link = "delay"   // delays all data by linkDelay
)

const linkDelay = 80 * time.Millisecond

// Proxy forwards TCP connections and datagrams to an address and applies the current link fault.
// Datagrams are forwarded in one direction only, because nodes reply to the address that a message
// names.
type Proxy struct {
	to       netip.AddrPort
	loss     float64 // share of the datagrams that are lost
	listener net.Listener
	udp      *net.UDPConn

	mu    sync.Mutex
	link  Link
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy for TCP and, if datagrams is set, for UDP, of which it loses a share.
func NewProxy(listen, to netip.AddrPort, datagrams bool, loss float64) (*Proxy, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{to: to, loss: loss, listener: l, conns: map[net.Conn]struct{}{}}
	if datagrams {
		if p.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen)); err != nil {
			_ = l.Close()
			return nil, err
		}
		go p.relayDatagrams()
	}
	go p.accept()
	return p, nil
}

// Set sets the link fault. Cut also resets the open connections.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	if l == Cut {
		for c := range p.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *Proxy) currentLink() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// Close closes the sockets and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	if p.udp != nil {
		_ = p.udp.Close()
	}
	p.Set(Cut)
}

func (p *Proxy) relayDatagrams() {
	buffer := make([]byte, 1<<16)
	to := p.to
	for {
		n, _, err := p.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if rand.Float64() < p.loss {
			continue
		}
		switch p.currentLink() {
		case Pass, OneWay:
			_, _ = p.udp.WriteToUDPAddrPort(buffer[:n], to)
		case Delay:
			delayed := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(linkDelay, func() { _, _ = p.udp.WriteToUDPAddrPort(delayed, to) })
		}
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentLink() == Cut {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go p.relayConnection(c)
	}
}

func (p *Proxy) relayConnection(c net.Conn) {
	upstream, err := net.Dial("tcp", p.to.String())
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var relays sync.WaitGroup
	relays.Go(func() { p.relay(upstream, c, false) })
	relays.Go(func() { p.relay(c, upstream, true) })
	relays.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// relay forwards the bytes of one direction. After the first dropped bytes it forwards nothing more
// on the connection: the byte stream has a gap, as behind a network partition.
func (p *Proxy) relay(to, from net.Conn, reverse bool) {
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		l := p.currentLink()
		dropping = dropping || l == Silence || l == OneWay && reverse
		if l == Delay {
			time.Sleep(linkDelay)
		}
		if n > 0 && !dropping {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF || !dropping {
				break
			}
			return
		}
	}
	_ = to.Close()
	_ = from.Close()
}

package socket

import (
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against batches that lose, cut or mix up datagrams and their senders, on IPv4 and dual-stack sockets, against an address that
// the socket can't take stopping the datagrams after it, and against an allocation per datagram.
func TestBatch(t *testing.T) {
	for network, refused := range map[string]string{"udp4": "[::1]:9", "udp": "127.0.0.1:0"} {
		receiver, err := net.ListenUDP(network, nil)
		assert.NilError(t, err)
		sender, err := net.ListenUDP(network, nil)
		assert.NilError(t, err)
		in, err := NewConn(receiver)
		assert.NilError(t, err)
		r := NewReader(in, 100, 0)
		c, err := NewConn(sender)
		assert.NilError(t, err)
		w := NewWriter(c)
		local := netip.MustParseAddr("127.0.0.1")
		to := netip.AddrPortFrom(local, receiver.LocalAddr().(*net.UDPAddr).AddrPort().Port())
		from := netip.AddrPortFrom(local, sender.LocalAddr().(*net.UDPAddr).AddrPort().Port())
		w.Add(netip.MustParseAddrPort(refused), []byte("refused"), nil)
		for i := range BatchSize + 3 {
			w.Add(to, []byte{byte(i)}, nil)
		}
		assert.Equal(t, w.Flush(), 1, network)
		for next := 0; next < BatchSize+3; {
			n, err := r.Read()
			assert.NilError(t, err)
			for i := range n {
				assert.DeepEqual(t, r.Payload(i), []byte{byte(next)})
				assert.Equal(t, r.From(i), from)
				next++
			}
		}
		payload := []byte("reading")
		assert.Equal(t, testing.AllocsPerRun(100, func() {
			w.Add(to, payload, nil)
			w.Flush()
			_, _ = r.Read()
		}), 0.0)
		assert.NilError(t, receiver.Close())
		_, err = r.Read()
		assert.ErrorIs(t, err, net.ErrClosed)
		assert.NilError(t, sender.Close())
	}
}

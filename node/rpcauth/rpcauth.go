// Package rpcauth signs the requests and responses of RPCs between nodes with the fleet's keys, and checks them.
package rpcauth

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/node/wire"
)

// Headers of a signed request or response.
const (
	HeaderKey  = "Lacewing-Key"     // key id
	HeaderTime = "Lacewing-Time"    // sender's clock, milliseconds since the epoch
	HeaderTag  = "Lacewing-Rpc-Tag" // 16 hexadecimal digits
	// HeaderIncarnation names the incarnation that a request is meant for. The tag covers it: a changed one would make a process answer
	// for what another incarnation ran.
	HeaderIncarnation = "Lacewing-Incarnation"
)

// maxBody bounds a message, in bytes: a response of 16 MB with its headers.
const maxBody = 18 << 20

// Errors of a check.
var (
	ErrUnsigned = errors.New("RPC without a valid signature header")
	ErrTime     = errors.New("RPC sent too long ago or in the future")
	ErrTag      = errors.New("RPC with a wrong tag")
)

// subject is what a tag covers besides the body. A response names the request's tag, so that it can't be given to another request.
type subject struct {
	path        string
	incarnation string // of the header; empty in responses
	request     uint64
	sentMs      uint64
}

func (s subject) text(body []byte) []byte {
	b := make([]byte, 0, len(s.path)+len(s.incarnation)+len(body)+18)
	b = binary.BigEndian.AppendUint64(b, s.sentMs)
	b = binary.BigEndian.AppendUint64(b, s.request)
	b = append(b, s.path...)
	b = append(b, 0) // neither a path nor a header holds it
	b = append(b, s.incarnation...)
	b = append(b, 0)
	return append(b, body...)
}

func sign(keys *wire.Keyring, h http.Header, s subject, body []byte) uint64 {
	id, tag := keys.Tag(s.text(body))
	h.Set(HeaderKey, strconv.Itoa(int(id)))
	h.Set(HeaderTime, strconv.FormatUint(s.sentMs, 10))
	h.Set(HeaderTag, strconv.FormatUint(tag, 16))
	return tag
}

// signature is the parsed headers of a message.
type signature struct {
	key    byte
	sentMs uint64
	tag    uint64
}

// parse reads the headers and checks the time, which needs no body.
func parse(h http.Header, now time.Time) (signature, error) {
	key, err1 := strconv.ParseUint(h.Get(HeaderKey), 10, 8)
	sent, err2 := strconv.ParseUint(h.Get(HeaderTime), 10, 63)
	tag, err3 := strconv.ParseUint(h.Get(HeaderTag), 16, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return signature{}, ErrUnsigned
	}
	if age := now.Sub(time.UnixMilli(int64(sent))); age > wire.MaxClockSkew || age < -wire.MaxClockSkew {
		return signature{}, ErrTime
	}
	return signature{byte(key), sent, tag}, nil
}

// Handler passes on only requests that are signed with a key of the keyring, and signs the responses. It buffers the body of both, so it
// is for unary RPCs.
func Handler(keys *wire.Keyring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sig, err := parse(r.Header, time.Now())
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "read RPC body: "+err.Error(), http.StatusBadRequest)
			return
		}
		if !keys.Check(sig.key, sig.tag, subject{r.URL.Path, r.Header.Get(HeaderIncarnation), 0, sig.sentMs}.text(body)) {
			http.Error(w, ErrTag.Error(), http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		buffer := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffer, r)
		sign(keys, w.Header(), subject{r.URL.Path, "", sig.tag, nowMs()}, buffer.body.Bytes())
		w.WriteHeader(buffer.status)
		_, _ = w.Write(buffer.body.Bytes())
	})
}

type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header         { return b.header }
func (b *bufferedResponse) WriteHeader(status int)      { b.status = status }
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// Transport signs requests and checks responses.
type Transport struct {
	Keys *wire.Keyring
	Base http.RoundTripper
}

// RoundTrip sends a signed copy of the request. A response without a valid tag is an error.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		body, err = io.ReadAll(r.Body)
		r.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "read RPC request")
		}
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	// Compression between the tag and the wire would change the body that the receiver sees.
	signed.Header.Set("Accept-Encoding", "identity")
	tag := sign(t.Keys, signed.Header, subject{r.URL.Path, r.Header.Get(HeaderIncarnation), 0, nowMs()}, body)
	resp, err := t.Base.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, errors.Wrap(err, "read RPC response")
	}
	sig, err := parse(resp.Header, time.Now())
	if err != nil {
		return nil, errors.Wrapf(err, "response with HTTP status %d", resp.StatusCode)
	}
	if !t.Keys.Check(sig.key, sig.tag, subject{r.URL.Path, "", tag, sig.sentMs}.text(answer)) {
		return nil, errors.Wrapf(ErrTag, "response with HTTP status %d", resp.StatusCode)
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	return resp, nil
}

// dialTimeout bounds a connection to another node, so that an unreachable one is known before a caller's deadline.
const dialTimeout = 500 * time.Millisecond

// Dialer connects from the node's own address, which instances with several addresses need for their firewall rules. An unspecified
// address leaves the choice to the system.
func Dialer(local netip.Addr) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if local.IsValid() && !local.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d
}

// Client returns an HTTP client for RPCs to other nodes from the address local.
func Client(keys *wire.Keyring, local netip.Addr) *http.Client {
	base := &http.Transport{DialContext: Dialer(local).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: &Transport{Keys: keys, Base: base}}
}

func nowMs() uint64 { return uint64(time.Now().UnixMilli()) }

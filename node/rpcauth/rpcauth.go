// Package rpcauth signs the requests and responses of RPCs between nodes with the fleet's keys, and
// verifies them.
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
	HeaderKey  = "Lacewing-Key"     // key ID
	HeaderTime = "Lacewing-Time"    // sender's clock, milliseconds since the epoch
	HeaderTag  = "Lacewing-Rpc-Tag" // 16 hexadecimal digits
	// HeaderIncarnation names the incarnation that a request is intended for. The tag covers it:
	// with a changed one, a process would respond for what another incarnation ran.
	HeaderIncarnation = "Lacewing-Incarnation"
)

// maxBodyBytes is the size limit of a message: a response of 16 MB with its headers.
const maxBodyBytes = 18 << 20

// Errors of the verification.
var (
	ErrUnsigned = errors.New("RPC without a valid signature header")
	ErrBadTime  = errors.New("RPC sent too long ago or in the future")
	ErrBadTag   = errors.New("RPC with a wrong tag")
)

// signedContent is what a tag covers besides the body. In a response, requestTag is the tag of the
// request, so that the response can't be used for another request.
type signedContent struct {
	path        string
	incarnation string // from the header; empty in responses
	requestTag  uint64 // 0 in requests
	sentMs      uint64
}

func (s signedContent) encode(body []byte) []byte {
	b := make([]byte, 0, len(s.path)+len(s.incarnation)+len(body)+18)
	b = binary.BigEndian.AppendUint64(b, s.sentMs)
	b = binary.BigEndian.AppendUint64(b, s.requestTag)
	b = append(b, s.path...)
	b = append(b, 0) // separator: neither a path nor a header contains it
	b = append(b, s.incarnation...)
	b = append(b, 0)
	return append(b, body...)
}

func sign(keys *wire.Keyring, h http.Header, s signedContent, body []byte) uint64 {
	id, tag := keys.Tag(s.encode(body))
	h.Set(HeaderKey, strconv.Itoa(int(id)))
	h.Set(HeaderTime, strconv.FormatUint(s.sentMs, 10))
	h.Set(HeaderTag, strconv.FormatUint(tag, 16))
	return tag
}

// signature is the content of a message's signature headers.
type signature struct {
	keyID  byte
	sentMs uint64
	tag    uint64
}

// parseSignature reads the signature headers and checks the time, for which the body is not needed.
func parseSignature(h http.Header, now time.Time) (signature, error) {
	key, err1 := strconv.ParseUint(h.Get(HeaderKey), 10, 8)
	sent, err2 := strconv.ParseUint(h.Get(HeaderTime), 10, 63)
	tag, err3 := strconv.ParseUint(h.Get(HeaderTag), 16, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return signature{}, ErrUnsigned
	}
	if age := now.Sub(time.UnixMilli(int64(sent))); age > wire.MaxClockSkew || age < -wire.MaxClockSkew {
		return signature{}, ErrBadTime
	}
	return signature{byte(key), sent, tag}, nil
}

// Handler passes only requests that are signed with a key of the keyring to next, and signs the
// responses. It buffers both bodies, so it is only suitable for unary RPCs.
func Handler(keys *wire.Keyring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sig, err := parseSignature(r.Header, time.Now())
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "read RPC body: "+err.Error(), http.StatusBadRequest)
			return
		}
		if !keys.Check(sig.keyID, sig.tag,
			signedContent{r.URL.Path, r.Header.Get(HeaderIncarnation), 0, sig.sentMs}.encode(body)) {
			http.Error(w, ErrBadTag.Error(), http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		buffer := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffer, r)
		sign(keys, w.Header(), signedContent{r.URL.Path, "", sig.tag, nowMs()}, buffer.body.Bytes())
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

// Transport is an http.RoundTripper that signs requests and verifies responses.
type Transport struct {
	Keys *wire.Keyring
	Base http.RoundTripper
}

// RoundTrip sends a signed copy of the request. It returns an error for a response without a valid
// tag.
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
	// Compression after the signing would change the body that the receiver verifies.
	signed.Header.Set("Accept-Encoding", "identity")
	tag := sign(t.Keys, signed.Header, signedContent{r.URL.Path, r.Header.Get(HeaderIncarnation), 0, nowMs()}, body)
	resp, err := t.Base.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read RPC response")
	}
	sig, err := parseSignature(resp.Header, time.Now())
	if err != nil {
		return nil, errors.Wrapf(err, "response with HTTP status %d", resp.StatusCode)
	}
	if !t.Keys.Check(sig.keyID, sig.tag, signedContent{r.URL.Path, "", tag, sig.sentMs}.encode(responseBody)) {
		return nil, errors.Wrapf(ErrBadTag, "response with HTTP status %d", resp.StatusCode)
	}
	resp.Body = io.NopCloser(bytes.NewReader(responseBody))
	return resp, nil
}

// dialTimeout limits the time to connect to another node, so that an unreachable one is detected
// before a caller's deadline.
const dialTimeout = 500 * time.Millisecond

// Dialer returns a dialer that connects from the node's own address, which instances with several
// addresses need for their firewall rules. With an unspecified address, the system chooses.
func Dialer(local netip.Addr) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if local.IsValid() && !local.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d
}

// Client returns an HTTP client for RPCs to other nodes that connects from the address local.
func Client(keys *wire.Keyring, local netip.Addr) *http.Client {
	base := &http.Transport{DialContext: Dialer(local).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: &Transport{Keys: keys, Base: base}}
}

func nowMs() uint64 { return uint64(time.Now().UnixMilli()) }

package load

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/bench/target"
)

// First of the ports of these tests, below the range of ephemeral ports.
const testPort = 19201

func startTarget(t *testing.T, name, service string, port int) string {
	t.Helper()
	c := target.Defaults()
	c.Name, c.Service = name, service
	c.UDP, c.HTTP = fmt.Sprint("127.0.0.1:", port), fmt.Sprint("127.0.0.1:", port)
	c.ServiceTime, c.ReadingInterval = time.Millisecond, 100*time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = target.New(c, log.NewNopLogger()).Run(ctx) }()
	targetURL := "http://" + c.HTTP
	for range 100 {
		if response, err := http.Get(targetURL + "/healthz"); err == nil {
			_ = response.Body.Close()
			return targetURL
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("target did not start")
	return ""
}

// Guards against a load program that does not detect a feed that moved to another target, or that
// reports a fault of a feed that did not move. A relay switches the feeds to a second target during
// the run.
func TestFeedsThatMove(t *testing.T) {
	urls := []string{startTarget(t, "a", "team/x", testPort), startTarget(t, "b", "team/x", testPort+1)}
	relay, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: testPort + 2})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = relay.Close() })
	var mu sync.Mutex
	to := testPort
	go relayTo(relay, func() int { mu.Lock(); defer mu.Unlock(); return to })
	config := Config{Duration: 1500 * time.Millisecond, Seed: 1, Feeds: []Feeds{{
		Service: "team/x", Address: fmt.Sprint("127.0.0.1:", testPort+2), Count: 20, OpenRate: 1000,
		Interval: 50 * time.Millisecond, DatagramBytes: 100, Targets: urls,
	}}}
	l, err := New(config)
	assert.NilError(t, err)
	time.AfterFunc(time.Second, func() { mu.Lock(); defer mu.Unlock(); to = testPort + 1 })
	time.AfterFunc(900*time.Millisecond, func() {
		if r := l.Report().Feeds[0]; r.Broken != 0 || r.Opened != 20 {
			t.Errorf("before the move: %+v", r)
		}
	})
	r, err := l.Run(context.Background())
	assert.NilError(t, err)
	f := r.Feeds[0]
	assert.Equal(t, f.Broken, 20, "%v", f.Events)
	assert.Equal(t, f.BrokenByTarget["a"], 20)
	assert.Equal(t, f.Misrouted, 0)
	assert.Equal(t, f.Gaps, 0)
}

// relayTo forwards callers' datagrams to a port of the loopback address, through one socket per
// caller, and returns the answers.
func relayTo(relay *net.UDPConn, port func() int) {
	sockets := map[string]*net.UDPConn{}
	b := make([]byte, 2000)
	for {
		n, from, err := relay.ReadFromUDP(b)
		if err != nil {
			return
		}
		s := sockets[from.String()]
		if s == nil {
			s, _ = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			sockets[from.String()] = s
			go func() {
				b := make([]byte, 2000)
				for {
					n, err := s.Read(b)
					if err != nil {
						return
					}
					_, _ = relay.WriteToUDP(b[:n], from)
				}
			}()
		}
		_, _ = s.WriteToUDP(b[:n], &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port()})
	}
}

// faultyAgent serves HTTP/3 in front of a target and violates the guarantees: /booking runs twice,
// /certificate runs but is reported as not run, /report gets the answer of another run.
type faultyAgent struct {
	proxy          *httputil.ReverseProxy
	mu             sync.Mutex
	requestsByPath map[string]int
}

// ServeHTTP implements http.Handler.
func (a *faultyAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.requestsByPath[r.URL.Path]++
	n := a.requestsByPath[r.URL.Path]
	a.mu.Unlock()
	discard := &recorder{header: http.Header{}}
	switch {
	case r.Method == "POST" && r.Header.Get(HeaderPermit) == "":
		w.Header().Set(HeaderPermit, "p")
		w.Header().Set(HeaderOutcome, OutcomeNotRun)
		w.WriteHeader(http.StatusPreconditionRequired)
		return
	case r.URL.Path == "/booking" && n%2 == 0: // the first of two runs
		a.proxy.ServeHTTP(discard, r)
	case r.URL.Path == "/certificate": // runs, but reports not-run
		a.proxy.ServeHTTP(discard, r)
		w.Header().Set(HeaderOutcome, OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.URL.Path == "/report" && n%2 == 0: // the target answers for another run id
		r.Header.Set(target.HeaderRunID, "other")
	}
	w.Header().Set(HeaderOutcome, OutcomeAnswered)
	a.proxy.ServeHTTP(w, r)
}

type recorder struct{ header http.Header }

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(b []byte) (int, error) { return len(b), nil }
func (r *recorder) WriteHeader(int)             {}

func certificate(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// Guards against a load program that does not detect a request that ran twice, a run after not-run
// or the answer to another request, or that reports faults of a correct agent.
func TestRequestFaultsAreFound(t *testing.T) {
	targetURL := startTarget(t, "a", "team/x", testPort+3)
	parsed, err := url.Parse(targetURL)
	assert.NilError(t, err)
	agent := &faultyAgent{proxy: httputil.NewSingleHostReverseProxy(parsed), requestsByPath: map[string]int{}}
	address := fmt.Sprint("127.0.0.1:", testPort+4)
	server := &http3.Server{Addr: address, TLSConfig: certificate(t), Handler: agent}
	go func() { _ = server.ListenAndServe() }()
	t.Cleanup(func() { _ = server.Close() })
	run := func(kind Request) RequestReport {
		l, err := New(Config{Duration: 500 * time.Millisecond, Seed: 1, Requests: []Requests{{
			Service: "team/x", Address: address, Rate: 40, Connections: 2, MaxInFlight: 100, Timeout: time.Second, MaxAttempts: 2,
			Mix: []Request{kind}, Targets: []string{targetURL},
		}}})
		assert.NilError(t, err)
		r, err := l.Run(context.Background())
		assert.NilError(t, err)
		t.Logf("%s: %+v", kind.Path, r.Requests[0])
		assert.Assert(t, r.Requests[0].Started > 10)
		return r.Requests[0]
	}
	r := run(Request{Method: "POST", Path: "/setpoint", AnswerBytes: 300, Weight: 1, NeedsPermit: true})
	assert.Equal(t, r.Answered, r.Started)
	assert.Assert(t, r.PermitsRequired > 0)
	assert.Equal(t, r.RanTwice+r.RunAfterNotRun+r.WrongAnswers+r.AnsweredWithoutRun, 0)
	r = run(Request{Method: "POST", Path: "/booking", AnswerBytes: 300, Weight: 1, NeedsPermit: true})
	assert.Assert(t, r.RanTwice > 0)
	r = run(Request{Method: "GET", Path: "/certificate", AnswerBytes: 300, Weight: 1})
	assert.Equal(t, r.RunAfterNotRun, r.Started)
	r = run(Request{Method: "GET", Path: "/report", AnswerBytes: 3000, Weight: 1})
	assert.Assert(t, r.WrongAnswers > 0)
	assert.Equal(t, r.RanTwice, 0)
}

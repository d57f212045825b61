package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/bench/feed"
)

func testConfig() Config {
	c := Defaults()
	c.Name, c.Service = "target-1", "team/a"
	c.ServiceTime = time.Millisecond
	return c
}

func get(t *testing.T, server *httptest.Server, method, path, run string) (int, http.Header, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, server.URL+path, nil)
	assert.NilError(t, err)
	r.Header.Set(HeaderRunID, run)
	answer, err := server.Client().Do(r)
	assert.NilError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, string(body), err
}

func setMode(t *testing.T, server *httptest.Server, mode string) {
	t.Helper()
	answer, err := server.Client().Post(server.URL+"/admin/mode", "application/json", strings.NewReader(mode))
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	_ = answer.Body.Close()
}

// Guards against a run that the log does not show, a refused request that it does, and modes that do not do what they say:
// proofs of at-most-once and of whole answers rest on them.
func TestRequestsAndModes(t *testing.T) {
	target := New(testConfig(), log.NewNopLogger())
	server := httptest.NewServer(target.handler())
	defer server.Close()
	status, header, body, err := get(t, server, "GET", "/report?size=5000", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, string(AnswerBody("target-1", "team/a", "r1", 5000)))
	assert.Equal(t, header.Get(HeaderChecksum), Checksum([]byte(body)))

	setMode(t, server, `{"shed":true}`)
	status, header, _, err = get(t, server, "POST", "/booking", "r2")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get(HeaderNotRun), "1")

	setMode(t, server, `{"shed":false,"cut":true,"slow":2000000}`)
	_, _, _, err = get(t, server, "POST", "/setpoint", "r3")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)

	setMode(t, server, `{"drain":true,"mislead":true}`)
	_, _, body, err = get(t, server, "GET", "/load", "")
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(body), `{"ready":true,"draining":false,"shedding":false,"connections":0,"busy":0,"slots":3}`)

	_, _, body, err = get(t, server, "GET", "/runs", "")
	assert.NilError(t, err)
	var ids []string
	for line := range strings.Lines(body) {
		var run Run
		assert.NilError(t, json.Unmarshal([]byte(line), &run))
		ids = append(ids, run.ID)
	}
	assert.DeepEqual(t, ids, []string{"r1", "r3"})
}

// Guards against a target that hides a foreign service's datagram or does not stream.
func TestFeed(t *testing.T) {
	c := testConfig()
	c.UDP, c.HTTP = "127.0.0.1:19101", "127.0.0.1:19102"
	c.ReadingInterval = 40 * time.Millisecond
	target := New(c, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	assert.NilError(t, target.start(ctx))
	conn, err := net.Dial("udp4", c.UDP)
	assert.NilError(t, err)
	defer conn.Close()
	seen := map[string]bool{}
	for _, service := range []string{"team/a", "team/b"} {
		call := feed.Datagram{Kind: feed.Call, Flow: 5, Sequence: 9, Service: service}
		_, err = conn.Write(call.Append(nil, 100))
		assert.NilError(t, err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	b := make([]byte, 2000)
	for !seen["2 5 9 target-1 team/a"] || !seen["3 5 1 target-1 team/a"] {
		n, err := conn.Read(b)
		assert.NilError(t, err)
		d, err := feed.Parse(b[:n])
		assert.NilError(t, err)
		seen[fmt.Sprintln(d.Kind, d.Flow, d.Sequence, d.Target, d.Service)[:len("2 5 9 target-1 team/a")]] = true
	}
	assert.Equal(t, target.stats().WrongService, uint64(1))
	assert.Equal(t, target.stats().FlowsOpened, uint64(1))
}

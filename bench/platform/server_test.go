package platform

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProtocol guards against deviations of the server from the object API: conditions, versions,
// lists, watches and errors.
func TestProtocol(t *testing.T) {
	server := NewServer(Limits{Writes: 1000, Reads: 1000})
	calls := []struct {
		method, target, condition, body string
		status                          int
		answer                          string // substring of the response body
	}{
		{"PUT", "/v1/objects/a/1", "", `1`, 400, "want If-Match"},
		{"PUT", "/v1/objects/a/1", "*", `{`, 400, "not JSON"},
		{"PUT", "/v1/objects/a/1", "3", `1`, 409, `"error":"conflict"`},
		{"PUT", "/v1/objects/a/1", "*", `1`, 200, `"version":1`},
		{"PUT", "/v1/objects/a/1", "*", `2`, 409, `"version":1,"writer":"ana"`},
		{"PUT", "/v1/objects/b/1", "*", `2`, 200, `"version":2`},
		{"PUT", "/v1/objects/a/1", "1", `3`, 200, `"version":3`},
		{"PUT", "/v1/objects/a/1", "3", `"` + strings.Repeat("x", 1<<20) + `"`, 413, "too large"},
		{"GET", "/v1/objects/a/1", "", ``, 200, `"value":3`},
		{"GET", "/v1/list?prefix=/a/", "", ``, 200, `{"version":3,"objects":[{"path":"/a/1"`},
		{"PUT", "/v1/objects/a/2", "*", `4`, 200, `"version":4`},
		{"GET", "/v1/list?prefix=/a/&limit=1", "", ``, 200, `"value":3}],"next":"/a/1"}`},
		{"GET", "/v1/list?prefix=/a/&limit=1&after=/a/1", "", ``, 200, `"value":4}]}`},
		{"GET", "/v1/list?prefix=/a/&limit=2", "", ``, 200, `"value":4}]}`},
		{"GET", "/v1/list?prefix=/a/&limit=-1", "", ``, 400, `want limit`},
		{"DELETE", "/v1/objects/a/2", "4", ``, 200, `"version":5`},
		{"GET", "/v1/watch?prefix=/&since=1&wait=0", "", ``, 200, `{"version":5,"objects":[{"path":"/b/1","version":2,`},
		{"DELETE", "/v1/objects/a/1", "1", ``, 409, `"version":3`},
		{"DELETE", "/v1/objects/a/1", "3", ``, 200, `"version":6`},
		{"DELETE", "/v1/objects/c/1", "3", ``, 404, `not found`},
		{"GET", "/v1/objects/a/1", "", ``, 404, `"version":6,"writer":"ana"`},
		{"GET", "/v1/watch?prefix=/a/1&since=1&wait=0", "", ``, 200, `"objects":[{"path":"/a/1","version":6,"writer":"ana","deleted":true}]`},
		{"GET", "/v1/watch?prefix=/a&since=6&wait=0", "", ``, 200, `{"version":6,"objects":[]}`},
		{"PUT", "/admin/faults", "", `{"outtage":true}`, 400, "unknown field"},
		{"PUT", "/admin/faults", "", `{"outage":true}`, 200, `"outage":true`},
		{"GET", "/v1/list?prefix=/a/", "", ``, 503, "unavailable"},
	}
	for _, c := range calls {
		r := httptest.NewRequest(c.method, c.target, strings.NewReader(c.body))
		r.Header.Set("Writer", "ana")
		if c.condition == "*" {
			r.Header.Set("If-None-Match", "*")
		} else if c.condition != "" {
			r.Header.Set("If-Match", c.condition)
		}
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		answer, _ := io.ReadAll(w.Body)
		what := fmt.Sprintf("%s %s: %.200s", c.method, c.target, answer)
		assert.Equal(t, w.Code, c.status, what)
		assert.Assert(t, strings.Contains(string(answer), c.answer), what)
	}
}

// TestLimits guards against rate limits that are not applied, in particular to watches.
func TestLimits(t *testing.T) {
	server := NewServer(Limits{Writes: 1, Reads: 10})
	limited := 0
	for range 4 {
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/watch?prefix=/&since=0&wait=0", nil))
		if w.Code == http.StatusTooManyRequests {
			limited++
		}
	}
	assert.Equal(t, limited, 2)
}

// TestStaleReads guards against stale reads that mix states: they must return one earlier state of
// the whole store.
func TestStaleReads(t *testing.T) {
	s := NewStore()
	now := time.Unix(1000, 0)
	s.now = func() time.Time { return now }
	for i := range 200 {
		_, ok := s.Apply(Write{Path: fmt.Sprintf("/%d", i%2), Unconditional: true, Value: []byte("1")})
		assert.Assert(t, ok)
		now = now.Add(time.Second)
	}
	assert.Equal(t, s.Get("/1", 0).Version, uint64(200))
	assert.Equal(t, s.Get("/1", 10*time.Second).Version, uint64(190))
	old := s.List("/", "", 0, 9*time.Second)
	assert.Equal(t, old.Version, uint64(192))
	assert.Equal(t, old.Objects[0].Version+old.Objects[1].Version, uint64(191+192))
	changes, _ := s.Changes("/", 100, 0)
	assert.Equal(t, len(changes.Objects), 2)
	late, _ := s.Changes("/", 180, 9*time.Second)
	assert.Equal(t, late.Version, uint64(192))
	assert.Equal(t, len(late.Objects), 2)
}

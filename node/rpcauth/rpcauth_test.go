package rpcauth

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/wire"
)

func keyring(t *testing.T, text string) *wire.Keyring {
	key, err := wire.ParseKey(text)
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{3: key}, 3)
	assert.NilError(t, err)
	return keys
}

// Guards against serving an RPC that is not signed with a key of the fleet, was changed or is old,
// and against accepting a response that is not signed with such a key.
func TestSignedRPC(t *testing.T) {
	ours := keyring(t, "000102030405060708090a0b0c0d0e0f")
	theirs := keyring(t, "ff0102030405060708090a0b0c0d0e0f")
	served := 0
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served++
		_, _ = io.Copy(w, r.Body)
	})
	server := httptest.NewServer(Handler(ours, echo))
	defer server.Close()
	plain := httptest.NewServer(echo)
	defer plain.Close()

	resp, err := Client(ours, netip.Addr{}).Post(server.URL+"/x", "text/plain", bytes.NewReader([]byte("hello")))
	assert.NilError(t, err)
	body, _ := io.ReadAll(resp.Body)
	assert.Equal(t, string(body), "hello")
	assert.Equal(t, served, 1)

	_, err = Client(theirs, netip.Addr{}).Post(server.URL+"/x", "text/plain", nil)
	assert.ErrorContains(t, err, "401")
	_, err = Client(ours, netip.Addr{}).Post(plain.URL, "text/plain", nil)
	assert.ErrorIs(t, err, ErrUnsigned)
	served = 0

	for _, c := range []struct {
		name        string
		age         time.Duration
		path, body  string
		incarnation string
		want        int
	}{
		{"as signed", 0, "/x", "hello", "7", 200},
		{"other body", 0, "/x", "hallo", "7", 401},
		{"other path", 0, "/y", "hello", "7", 401},
		{"old", 31 * time.Second, "/x", "hello", "7", 401},
		{"from the future", -31 * time.Second, "/x", "hello", "7", 401},
		{"other incarnation", 0, "/x", "hello", "8", 401},
		{"no incarnation", 0, "/x", "hello", "", 401},
	} {
		req, _ := http.NewRequest(http.MethodPost, server.URL+c.path, bytes.NewReader([]byte(c.body)))
		req.Header.Set(HeaderIncarnation, c.incarnation)
		sign(ours, req.Header, signedContent{"/x", "7", 0, uint64(time.Now().Add(-c.age).UnixMilli())}, []byte("hello"))
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.want, c.name)
		if c.want == http.StatusOK {
			req.Header.Set(HeaderTime, strconv.FormatUint(nowMs()+5, 10))
			req.Body = io.NopCloser(bytes.NewReader([]byte(c.body)))
			resp, err = http.DefaultClient.Do(req)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusUnauthorized, "changed time")
		}
	}
	assert.Equal(t, served, 1)
}

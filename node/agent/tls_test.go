package agent_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/agent"
)

// Guards against an agent that starts with a certificate that it cannot load, or that no caller
// would receive.
func TestTLSIsChecked(t *testing.T) {
	for _, c := range []struct{ target, tls, want string }{
		{"url: \"http://127.0.0.1:9\",", "", ""},
		{"url: \"http://127.0.0.1:9\",", "tls: {certificate_file: /none.pem, key_file: /none.key}\n", "/none.pem"},
		{"url: \"http://127.0.0.1:9\",", "tls: {key_file: /none.key}\n", "tls"},
		{"udp: \"127.0.0.1:9\",", "tls: {certificate_file: /none.pem, key_file: /none.key}\n",
			"a service of feeds has no certificate"},
	} {
		rest := "service: maturacao/room-control\ntarget: {" + c.target + " slots: 3}\n" + c.tls
		_, err := agent.LoadConfig(writeSettings(t, "a", freeAddress(t), freeAddress(t), rest))
		if c.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, c.want)
	}
}

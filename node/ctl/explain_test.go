package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
)

// TestDescribeOwner guards against a wrong owner in explain when agents disagree, do not respond or
// have no record of the flow.
func TestDescribeOwner(t *testing.T) {
	a, b := ident.NewNodeID("a"), ident.NewNodeID("b")
	named := func(id ident.NodeID) string { return fmt.Sprintf("a (%s, ready)", id) }
	cases := []struct {
		views []agentView
		want  string
	}{
		{[]agentView{{name: "b", id: b, owner: named(a)}, {name: "a", id: a, owner: named(a)}},
			"owner: agent a, which has opened the flow"},
		{[]agentView{{name: "b", id: b, owner: named(a)}, {name: "a", id: a, owner: noOwner}},
			"by the directory of agent b"},
		{[]agentView{{name: "b", id: b, owner: noOwner}, {name: "a", id: a, owner: noOwner, err: errors.New("x")}},
			"not known; 1 agents"},
		{[]agentView{{name: "b", id: b, owner: noOwner}}, "owner: none"},
	}
	for _, c := range cases {
		assert.Assert(t, strings.Contains(describeOwner(c.views), c.want), describeOwner(c.views))
	}
}

// TestSecrets guards against a key of the settings file in an error message about that file.
func TestSecrets(t *testing.T) {
	const secret = "000102030405060708090a0b0c0d0eXX"
	for _, text := range []string{
		"entries: [127.0.0.1:1]\nkeys:\n  - {id: 1, value: " + secret + "}\nsign_with: 1\n",
		"entries: [127.0.0.1:1]\nkeys:\n  - {id: 1, value: " + secret + ", oops: 1}\nsign_with: 1\n",
		"entries: [127.0.0.1:1]\nkeys:\n  - {id: [1], value: " + secret + "}\n",
		"keys: {id: 1, value: " + secret + "\n",
	} {
		file := filepath.Join(t.TempDir(), "lacewingctl.yaml")
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		var out bytes.Buffer
		code := Main(context.Background(), []string{"--config", file, "explain", "team/feed", "127.0.0.1:9"},
			&out, &out, "test")
		assert.Equal(t, code, ExitFailed, out.String())
		assert.Assert(t, !strings.Contains(out.String(), secret), out.String())
	}
}

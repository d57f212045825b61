package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func runCheck(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Main(context.Background(), append([]string{"check"}, args...), &stdout, &stderr, "test")
	return code, stdout.String(), stderr.String()
}

// TestCheckOutput guards against changes of the output, findings without their line, and null in place of empty lists in JSON.
func TestCheckOutput(t *testing.T) {
	for name, args := range map[string][]string{
		"json":         {"testdata/check/new.json", "--against", "testdata/check/old.json"},
		"yaml":         {"testdata/check/new.yaml", "--against", "testdata/check/old.yaml"},
		"yaml-as-json": {"testdata/check/new.yaml", "--against", "testdata/check/old.yaml", "--output", "json"},
		"fault":        {"testdata/check/invalid.yaml"},
		"unknown":      {"testdata/check/unknown.yaml"},
		"type":         {"testdata/check/type.yaml"},
		"clean":        {"testdata/check/old.json", "--output", "json"},
	} {
		_, out, _ := runCheck(args...)
		golden.Assert(t, out, "check/"+name+".golden")
	}
}

// TestCheckExitCodes guards against findings that a script takes for an unusable call, and unusable files that pass.
func TestCheckExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	const settings = "kind: feed\naddress: 10.0.0.5:7001\n"
	yaml := write("settings.yaml", settings)
	object := write("object", ` {"routes":[],"services":[{"name":"spare"}]}`)
	invalid := write("invalid", settings+"hash_slots: 3\n")
	absent, flow := filepath.Join(dir, "absent"), write("flow.yml", "{kind: feed, address: '10.0.0.5:7001'}")
	for want, calls := range map[int][]string{
		ExitOK: {yaml, flow, object, object + " --against " + object}, // object has a warning
		ExitFailed: {invalid, invalid + " --against " + yaml, "testdata/check/unknown.yaml",
			write("type.json", `{"routes":{},"services":[]}`)},
		ExitUsage: {"", dir, absent, yaml + " --against " + absent, yaml + " --against " + invalid, yaml + " --against " + object,
			yaml + " --output xml", write("malformed.yaml", "kind: ["), write("malformed.json", `{"routes":[`),
			write("list.json", `[]`), write("other.json", `{"meta":{"revision":1},"spec":{}}`)},
	} {
		for _, call := range calls {
			code, out, errOut := runCheck(strings.Fields(call)...)
			assert.Equal(t, code, want, "%s: %s%s", call, out, errOut)
			assert.Equal(t, errOut != "", code != ExitOK, errOut)
		}
	}
}

package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func runCheck(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Main(context.Background(), append([]string{"check"}, args...), &stdout, &stderr, "test")
	return code, stdout.String(), stderr.String()
}

// TestCheckText guards against changes of the text output, and findings without their line.
func TestCheckText(t *testing.T) {
	for _, format := range []string{"json", "yaml"} {
		code, out, _ := runCheck("testdata/check/new."+format, "--against", "testdata/check/old."+format)
		assert.Equal(t, code, ExitFailed)
		golden.Assert(t, out, "check/"+format+".golden")
	}
}

// TestCheckJSON guards against output that programs can't read, and null in place of empty lists.
func TestCheckJSON(t *testing.T) {
	code, out, _ := runCheck("testdata/check/new.yaml", "--against", "testdata/check/old.yaml", "--output", "json")
	assert.Equal(t, code, ExitFailed)
	var result checkResult
	assert.NilError(t, json.Unmarshal([]byte(out), &result))
	assert.Equal(t, result.Errors, 1)
	assert.Equal(t, result.Warnings, 1)
	assert.Equal(t, result.Findings[0].Line, 3)
	assert.Equal(t, len(result.Changes), 4)
	code, out, _ = runCheck("testdata/check/old.json", "--output", "json")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, `{
  "file": "testdata/check/old.json",
  "errors": 0,
  "warnings": 0,
  "findings": [],
  "changes": []
}
`)
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
	cases := []struct {
		want int
		args []string
	}{
		{ExitOK, []string{yaml}},
		{ExitOK, []string{write("flow.yml", "{kind: feed, address: '10.0.0.5:7001'}")}},
		{ExitOK, []string{object}}, // a warning
		{ExitOK, []string{object, "--against", object}},
		{ExitFailed, []string{invalid}},
		{ExitFailed, []string{invalid, "--against", yaml}},
		{ExitFailed, []string{write("unknown", settings+"port: 3\n")}},
		{ExitFailed, []string{write("type.json", `{"routes":{},"services":[]}`)}},
		{ExitUsage, nil},
		{ExitUsage, []string{dir}},
		{ExitUsage, []string{filepath.Join(dir, "absent")}},
		{ExitUsage, []string{yaml, "--against", filepath.Join(dir, "absent")}},
		{ExitUsage, []string{yaml, "--against", invalid}},
		{ExitUsage, []string{yaml, "--against", object}},
		{ExitUsage, []string{yaml, "--output", "xml"}},
		{ExitUsage, []string{write("malformed.yaml", "kind: [")}},
		{ExitUsage, []string{write("malformed.json", `{"routes":[`)}},
		{ExitUsage, []string{write("list.json", `[]`)}},
		{ExitUsage, []string{write("other.json", `{"meta":{"revision":1},"spec":{}}`)}},
	}
	for _, c := range cases {
		code, out, errOut := runCheck(c.args...)
		assert.Equal(t, code, c.want, "%v: %s%s", c.args, out, errOut)
		assert.Equal(t, errOut != "", code != ExitOK, errOut)
	}
}

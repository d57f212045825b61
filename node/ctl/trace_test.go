package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const traceLog = `ts=2026-01-24T09:36:01Z node=agent-1 level=info msg="target state" target=t-1 accepting=true
not a log line
ts=2026-01-24T09:36:02Z node=entry-1 level=info decision="flow opens" flow=100.65.0.30:1055>198.18.0.1:8080 peer=agent-1
  5.04 agent-1 ts=2026-01-24T09:36:02.1Z node=agent-1 level=info decision="flow offered" flow=100.65.0.30:1055>198.18.0.1:8080 target=t-1
ts=2026-01-24T09:36:02.2Z node=agent-1 level=info decision="flow offered" flow=100.65.0.31:1055>198.18.0.1:8080 target=t-1
ts=2026-01-24T09:36:03Z node=agent-1 level=info msg="target state" target=t-1 accepting=false reason="no report for too long"
ts=2026-01-24T09:36:03Z node=agent-2 level=info msg="target state" target=t-2 accepting=false
ts=2026-01-24T09:36:03Z node=entry-1 level=info msg="node changed" peer=agent-2
ts=2026-01-24T09:36:30Z node=agent-1 level=info msg="target state" target=t-1 accepting=true
`

// Guards against a trace without the cause, which is in lines of the flow's nodes that do not name
// the flow, and against a trace with lines of other nodes and flows.
func TestTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(path, []byte(traceLog), 0o600))
	var out, errOut bytes.Buffer
	code := Main(context.Background(), []string{"trace", "100.65.0.30:1055>198.18.0.1:8080", path}, &out, &errOut, "v")
	assert.Equal(t, code, ExitOK, errOut.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 4, out.String())
	for i, want := range []string{"accepting=true", "flow opens", "flow offered", "no report for too long"} {
		assert.Assert(t, strings.Contains(lines[i], want) && strings.HasPrefix(lines[i], "ts="), lines[i])
	}
	code = Main(context.Background(), []string{"trace", "1.2.3.4:5>6.7.8.9:1", path}, &out, &errOut, "v")
	assert.Equal(t, code, ExitFailed)
}

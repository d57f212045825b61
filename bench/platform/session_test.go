package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/controller"
	"lacewinglever.dev/node/ctl"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// cluster is a server of the object API with entries that run controllers over fake meshes, and one
// agent.
type cluster struct {
	t       *testing.T
	dir     string
	url     string
	server  *Server
	network *fakeNetwork
	service ident.ServiceName
}

func newCluster(t *testing.T, entries ...string) *cluster {
	server := NewServer(DefaultLimits)
	httpServer := httptest.NewServer(server)
	c := &cluster{t: t, dir: t.TempDir(), url: httpServer.URL, server: server, network: newFakeNetwork()}
	c.service = ident.ServiceName{Team: "maturacao", Name: "room-control"}
	agent := c.network.add(record.Node{Name: "agent-1", DataCentre: "dc1", Service: c.service.ID()})
	agent.handleAppliedQueries()
	t.Cleanup(func() {
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	c.start(entries...)
	return c
}

// start runs entries until the end of the test.
func (c *cluster) start(entries ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var controllers []*controller.Controller
	for _, name := range entries {
		dc := ident.DataCentre(strings.SplitN(name, "-", 2)[0])
		mesh := c.network.add(record.Node{Name: name, DataCentre: dc, Entry: true})
		mesh.handleAppliedQueries()
		ctrl, err := controller.New(controller.Options{Mesh: mesh, PlatformURL: c.url, Metrics: metrics.NewSet()})
		assert.NilError(c.t, err)
		controllers = append(controllers, ctrl)
	}
	for _, ctrl := range controllers {
		running.Go(func() { _ = ctrl.Run(ctx) })
	}
}

func (c *cluster) writeFile(name, text string) {
	assert.NilError(c.t, os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o600))
}

// run runs one command line and returns its output and exit code. Words that begin with @ are files
// in dir.
func (c *cluster) run(line string) (string, int) {
	args := []string{"--platform", c.url}
	for _, word := range strings.Fields(line) {
		if name, ok := strings.CutPrefix(word, "@"); ok {
			word = filepath.Join(c.dir, name)
		}
		args = append(args, word)
	}
	var out bytes.Buffer
	code := ctl.Main(context.Background(), args, &out, &out, "test")
	text := strings.ReplaceAll(out.String(), c.dir+"/", "@")
	if code != 0 {
		text += fmt.Sprintf("exit %d\n", code)
	}
	return text, code
}

// variableValues are the values in the output that differ from run to run, with their placeholders.
var variableValues = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`\d+ ms`), "N ms"},
	{regexp.MustCompile(`version \d+`), "version V"},
	{regexp.MustCompile(`write [A-Z0-9]+`), "write ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`), "TIME"},
}

// TestSession guards against changes of the commands' output, and against a written spec that
// is never in force at all nodes. The expected text is in testdata/session.txt: a line that
// begins with $ is a command, the lines below it are its output. UPDATE_GOLDEN=1 rewrites the file.
func TestSession(t *testing.T) {
	c := newCluster(t, "dc1-a", "dc1-b", "dc1-c", "dc2-a")
	good := "kind: feed\naddress: 127.250.0.1:7001\ndrain: [agent-9]\n# a comment\nidle_timeout: 30s\n"
	c.writeFile("good.yaml", good)
	c.writeFile("other.yaml", strings.Replace(good, "30s", "45s", 1))
	c.writeFile("bad.yaml", "kind: fed\naddress: 127.250.0.1\nhash_slots: 3\n")
	golden, err := os.ReadFile("testdata/session.txt")
	assert.NilError(t, err)
	var got strings.Builder
	for _, line := range strings.Split(string(golden), "\n") {
		command, ok := strings.CutPrefix(line, "$ ")
		if !ok {
			continue
		}
		out, _ := c.run(command)
		for _, v := range variableValues {
			out = v.pattern.ReplaceAllString(out, v.with)
		}
		got.WriteString(line + "\n" + out)
	}
	if os.Getenv("UPDATE_GOLDEN") != "" {
		assert.NilError(t, os.WriteFile("testdata/session.txt", []byte(got.String()), 0o600))
	}
	assert.Equal(t, got.String(), string(golden))
}

package fleet

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/bench/fabric"
	"lacewinglever.dev/bench/target"
	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/entry"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/settings"
)

func testFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := New(Options{
		Dir: t.TempDir(), PortBase: 12000, Entries: []int{1, 2, 3}, Services: UserServices(), Links: UserLinks(),
	})
	assert.NilError(t, err)
	return f
}

func settingsFile(t *testing.T, f *Fleet, name string) string {
	t.Helper()
	_, err := f.commandLine(name)
	assert.NilError(t, err)
	return f.Dir + "/" + name + ".yaml"
}

// Guards against settings files that the programs reject, and against two programs with the same
// address.
func TestSettingsFilesAreAccepted(t *testing.T) {
	f := testFleet(t)
	e, err := entry.LoadConfig(settingsFile(t, f, "entry-2"))
	assert.NilError(t, err)
	assert.Equal(t, e.UDP, config.Address{Listen: "127.2.0.12:12000", Advertise: "127.202.0.12:12000"})
	network, err := config.Load(settingsFile(t, f, Fabric), fabric.Defaults(), (*fabric.Config).Check)
	assert.NilError(t, err)
	assert.DeepEqual(t, network.Links, UserLinks())
	seen := map[string]bool{}
	for _, n := range f.nodes {
		assert.Assert(t, !seen[n.host] && !seen[n.name], "%+v", n)
		seen[n.host], seen[n.name] = true, true
		if n.serviceIndex >= 0 {
			_, err := config.Load(settingsFile(t, f, n.target), target.Defaults(), (*target.Config).Check)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, len(f.nodes), 3+7+7+3+7+7+4)
	for i := range f.Services {
		service, err := ident.ParseServiceName(f.Services[i].FullName())
		assert.NilError(t, err)
		_, err = settings.Parse(f.Services[i].Name, service, []byte(f.spec(i, "deadline: 8s\n")))
		assert.NilError(t, err)
	}
}

// Guards against processes, paused ones included, that survive Close.
func TestCloseLeavesNoProcess(t *testing.T) {
	f := testFleet(t)
	var ids []int
	for _, name := range []string{"a", "b"} {
		p, err := startProcess(f.Dir, name, "sleep", "60")
		assert.NilError(t, err)
		f.processes[name] = p
		f.startOrder = append(f.startOrder, name)
		ids = append(ids, p.PID())
	}
	assert.NilError(t, f.Pause("a"))
	assert.DeepEqual(t, f.EndedProcesses(), []string(nil))
	assert.NilError(t, f.Close(false))
	for _, id := range ids {
		assert.ErrorIs(t, syscall.Kill(id, 0), syscall.ESRCH)
	}
	assert.Assert(t, f.Pause("a") != nil)
}

// Guards against a program that fails at its start without its error message being shown.
func TestLogTail(t *testing.T) {
	f := testFleet(t)
	p, err := startProcess(f.Dir, "broken", "cat", "/no/such/file")
	assert.NilError(t, err)
	assert.Assert(t, p.Wait(5*time.Second) != nil)
	assert.Assert(t, strings.Contains(f.LogTail("broken"), "/no/such/file"))
	info, err := os.Stat(p.LogPath)
	assert.NilError(t, err)
	assert.Assert(t, info.Size() > 0)
}

package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/settings"
)

// controlTimeout bounds one run of lacewingctl.
const controlTimeout = 15 * time.Second

// versionPattern matches the version in the output of lacewingctl apply.
var versionPattern = regexp.MustCompile(`version (\d+)`)

// Status is the part of a service's status object that the fleet reads.
type Status struct {
	Accepted        uint64   `json:"accepted"`
	AcceptedVersion uint64   `json:"accepted_version"`
	RefusedVersion  uint64   `json:"refused_version"`
	Reason          string   `json:"reason"`
	InForce         int      `json:"in_force"`
	Nodes           int      `json:"nodes"`
	Missing         []string `json:"missing"`
	ElapsedMs       int64    `json:"elapsed_ms"`
}

type statusObject struct {
	Value Status `json:"value"`
}

// Apply writes a service's settings with lacewingctl: those of the plan with additional YAML lines.
// It returns the version of the written object.
func (f *Fleet) Apply(ctx context.Context, service, extraYAML string) (uint64, error) {
	i, err := f.serviceIndex(service)
	if err != nil {
		return 0, err
	}
	return f.ApplyText(ctx, service, f.spec(i, extraYAML))
}

// ApplyText writes settings with lacewingctl without adding those of the plan.
func (f *Fleet) ApplyText(ctx context.Context, service, text string) (uint64, error) {
	file := filepath.Join(f.Dir, strings.ReplaceAll(service, "/", "-")+".settings.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return 0, err
	}
	out, err := f.RunCtl(ctx, "apply", service, file)
	if err != nil {
		return 0, err
	}
	match := versionPattern.FindStringSubmatch(out)
	if match == nil {
		return 0, errors.Errorf("apply %s: no version in %q", service, out)
	}
	return strconv.ParseUint(match[1], 10, 64)
}

// RunCtl runs lacewingctl and returns its output.
func (f *Fleet) RunCtl(ctx context.Context, args ...string) (string, error) {
	return f.RunCtlAs(ctx, "operator", args...)
}

// RunCtlAs runs lacewingctl as the named operator.
func (f *Fleet) RunCtlAs(ctx context.Context, writer string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	args = append(args, "--platform", "http://"+f.platformAddress(), "--as", writer)
	out, err := exec.CommandContext(ctx, f.binary("lacewingctl"), args...).CombinedOutput()
	if err != nil {
		return string(out), errors.Wrapf(err, "lacewingctl %s: %s", args[0], strings.TrimSpace(string(out)))
	}
	return string(out), nil
}

// Status returns the status of a service from the platform.
func (f *Fleet) Status(ctx context.Context, service string) (Status, error) {
	team, name, _ := strings.Cut(service, "/")
	var o statusObject
	url := fmt.Sprintf("http://%s/v1/objects/teams/%s/status/%s", f.platformAddress(), team, name)
	err := f.call(ctx, http.MethodGet, url, nil, &o)
	return o.Value, err
}

// WaitInForce waits until the settings of a version, or newer ones, are in force at all nodes of
// the service, and at least at the given number of nodes.
func (f *Fleet) WaitInForce(ctx context.Context, service string, version uint64, nodes int, limit time.Duration) error {
	return f.WaitUntil(ctx, limit, service+" is in force", func() error {
		s, err := f.Status(ctx, service)
		switch {
		case err != nil:
			return err
		case s.RefusedVersion >= version:
			return errors.Errorf("refused: %s", s.Reason)
		case s.AcceptedVersion < version || s.InForce < s.Nodes || s.Nodes < nodes:
			return errors.Errorf("status %+v, want version %d at %d nodes", s, version, nodes)
		}
		return nil
	})
}

// NodeCount returns the number of running nodes that apply the settings of a service: all entries
// and its agents.
func (f *Fleet) NodeCount(service string) int { return len(f.ConcernedNodes(service)) }

// ApplyAll writes the settings of all services and waits until they are in force at all nodes.
func (f *Fleet) ApplyAll(ctx context.Context, limit time.Duration) error {
	versions := make([]uint64, len(f.Services))
	for i := range f.Services {
		var err error
		if versions[i], err = f.Apply(ctx, f.Services[i].FullName(), ""); err != nil {
			return err
		}
	}
	for i := range f.Services {
		name := f.Services[i].FullName()
		if err := f.WaitInForce(ctx, name, versions[i], f.NodeCount(name), limit); err != nil {
			return err
		}
	}
	return nil
}

// WriteSettingsFile writes a file with a service's planned settings and additional YAML lines, and
// returns its path.
func (f *Fleet) WriteSettingsFile(service, name, extraYAML string) (string, error) {
	i, err := f.serviceIndex(service)
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.Dir, name+".settings.yaml")
	return file, os.WriteFile(file, []byte(f.spec(i, extraYAML)), 0o600)
}

// SpecVersion returns the version of a service's settings object from the platform.
func (f *Fleet) SpecVersion(ctx context.Context, service string) (uint64, error) {
	name, err := ident.ParseServiceName(service)
	if err != nil {
		return 0, err
	}
	var o objectapi.Object
	err = f.call(ctx, http.MethodGet,
		"http://"+f.platformAddress()+objectapi.ObjectsPath+settings.ServicePath(name), nil, &o)
	return o.Version, err
}

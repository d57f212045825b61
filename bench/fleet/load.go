package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/bench/load"
)

// loadProgram is a started load program.
type loadProgram struct {
	name    string
	admin   string
	out     string
	process *Process
}

// FeedLoad returns the load of a number of feeds to one service.
func (f *Fleet) FeedLoad(service string, count int) (load.Feeds, error) {
	i, err := f.serviceIndex(service)
	return load.Feeds{Service: service, Address: f.serviceAddress(i), Count: count, Targets: f.targetURLs(i)}, err
}

// RequestLoad returns the load of requests to one service, at a rate in requests per second.
func (f *Fleet) RequestLoad(service string, rate float64, mix ...load.Request) (load.Requests, error) {
	i, err := f.serviceIndex(service)
	return load.Requests{
		Service: service, Address: f.serviceAddress(i), Rate: rate, Mix: mix, Targets: f.targetURLs(i)}, err
}

// StartLoad starts a load program under a name.
func (f *Fleet) StartLoad(ctx context.Context, name string, c load.Config) error {
	f.mu.Lock()
	if f.loads[name] != nil || len(f.loads) >= maxLoads {
		f.mu.Unlock()
		return errors.Errorf("load %s was started before, or the limit of %d loads is reached", name, maxLoads)
	}
	l := &loadProgram{name: "load-" + name, admin: f.hostPort("127.0.0.1", portLoad+len(f.loads))}
	l.out = filepath.Join(f.Dir, l.name+".json")
	c.Admin = l.admin
	args, err := f.commandWithConfig("loadgen", l.name, c)
	if err == nil {
		l.process, err = startProcess(f.Dir, l.name, append(args, "--out", l.out)...)
	}
	if err == nil {
		f.loads[name] = l
	}
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return f.WaitUntil(ctx, startTimeout, l.name+" responds", func() error {
		if !l.process.Running() {
			return errors.Wrapf(errProcessEnded, "%s: %s", l.name, f.LogTail(l.name))
		}
		return f.call(ctx, http.MethodGet, "http://"+l.admin+"/healthz", nil, nil)
	})
}

func (f *Fleet) findLoad(name string) (*loadProgram, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.loads[name]; l != nil {
		return l, nil
	}
	return nil, errors.Errorf("load %s was not started", name)
}

// LoadReport returns the report of a load: the current one while it runs, else the final one.
func (f *Fleet) LoadReport(ctx context.Context, name string) (*load.Report, error) {
	l, err := f.findLoad(name)
	if err != nil {
		return nil, err
	}
	r := &load.Report{}
	if l.process.Running() {
		return r, f.call(ctx, http.MethodGet, "http://"+l.admin+"/report", nil, r)
	}
	return f.readReport(l)
}

// readReport reads the final report. A load program that found faults writes it too and exits with
// an error.
func (f *Fleet) readReport(l *loadProgram) (*load.Report, error) {
	text, err := os.ReadFile(l.out)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: %s", l.name, f.LogTail(l.name))
	}
	r := &load.Report{}
	return r, json.Unmarshal(text, r)
}

// MarkLoad resets the counters that count from the last mark.
func (f *Fleet) MarkLoad(ctx context.Context, name string) error {
	l, err := f.findLoad(name)
	if err != nil {
		return err
	}
	return f.call(ctx, http.MethodPost, "http://"+l.admin+"/mark", nil, nil)
}

// StopLoad stops a load and returns its final report.
func (f *Fleet) StopLoad(ctx context.Context, name string, limit time.Duration) (*load.Report, error) {
	l, err := f.findLoad(name)
	if err != nil {
		return nil, err
	}
	if l.process.Running() {
		if err := f.call(ctx, http.MethodPost, "http://"+l.admin+"/stop", nil, nil); err != nil {
			return nil, err
		}
	}
	return f.WaitLoad(ctx, name, limit)
}

// WaitLoad waits until a load ends by itself and returns its final report.
func (f *Fleet) WaitLoad(ctx context.Context, name string, limit time.Duration) (*load.Report, error) {
	l, err := f.findLoad(name)
	if err != nil {
		return nil, err
	}
	err = f.WaitUntil(ctx, limit, l.name+" ends", func() error {
		if l.process.Running() {
			return errors.New("still running")
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return f.readReport(l)
}

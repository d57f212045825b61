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

// Load is a running load program.
type Load struct {
	name    string
	admin   string
	out     string
	process *Process
}

// FeedLoad returns a load of feeds to one service.
func (f *Fleet) FeedLoad(service string, count int) (load.Feeds, error) {
	i, err := f.serviceIndex(service)
	return load.Feeds{Service: service, Address: f.serviceAddress(i), Count: count, Targets: f.targetURLs(i)}, err
}

// RequestLoad returns a load of requests to one service.
func (f *Fleet) RequestLoad(service string, rate float64, mix ...load.Request) (load.Requests, error) {
	i, err := f.serviceIndex(service)
	return load.Requests{Service: service, Address: f.serviceAddress(i), Rate: rate, Mix: mix, Targets: f.targetURLs(i)}, err
}

// StartLoad starts a load program under a name.
func (f *Fleet) StartLoad(ctx context.Context, name string, c load.Config) error {
	f.mu.Lock()
	if f.loads[name] != nil || len(f.loads) >= maxLoads {
		f.mu.Unlock()
		return errors.Errorf("load %s was started before, or there are %d loads", name, maxLoads)
	}
	l := &Load{name: "load-" + name, admin: f.at("127.0.0.1", portLoad+len(f.loads))}
	l.out = filepath.Join(f.Dir, l.name+".json")
	c.Admin = l.admin
	args, err := f.withConfig("loadgen", l.name, c)
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
	return f.Until(ctx, startWait, l.name+" answers", func() error {
		if !l.process.Running() {
			return errors.Wrapf(errHopeless, "%s: %s", l.name, f.LogTail(l.name))
		}
		return f.call(ctx, http.MethodGet, "http://"+l.admin+"/healthz", nil, nil)
	})
}

func (f *Fleet) load(name string) (*Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.loads[name]; l != nil {
		return l, nil
	}
	return nil, errors.Errorf("load %s was not started", name)
}

// LoadReport returns what a load found: so far, or in all if it has ended.
func (f *Fleet) LoadReport(ctx context.Context, name string) (*load.Report, error) {
	l, err := f.load(name)
	if err != nil {
		return nil, err
	}
	r := &load.Report{}
	if l.process.Running() {
		return r, f.call(ctx, http.MethodGet, "http://"+l.admin+"/report", nil, r)
	}
	return f.readReport(l)
}

// readReport reads the final report. A load program that found faults exits with an error and still writes it.
func (f *Fleet) readReport(l *Load) (*load.Report, error) {
	text, err := os.ReadFile(l.out)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: %s", l.name, f.LogTail(l.name))
	}
	r := &load.Report{}
	return r, json.Unmarshal(text, r)
}

// MarkLoad starts the counts since the mark anew.
func (f *Fleet) MarkLoad(ctx context.Context, name string) error {
	l, err := f.load(name)
	if err != nil {
		return err
	}
	return f.call(ctx, http.MethodPost, "http://"+l.admin+"/mark", nil, nil)
}

// StopLoad ends a load and returns its final report.
func (f *Fleet) StopLoad(ctx context.Context, name string, limit time.Duration) (*load.Report, error) {
	l, err := f.load(name)
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
	l, err := f.load(name)
	if err != nil {
		return nil, err
	}
	err = f.Until(ctx, limit, l.name+" ends", func() error {
		if l.process.Running() {
			return errors.New("it runs")
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return f.readReport(l)
}

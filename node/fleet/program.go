package fleet

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"lacewinglever.dev/node/daemon"
	"lacewinglever.dev/node/logging"
)

const (
	// settingsCheckInterval is the interval at which a program checks whether the settings file has
	// changed without a signal.
	settingsCheckInterval = 5 * time.Second
	// logFlushTimeout bounds how long a stopping program waits for a slow reader of its log.
	logFlushTimeout = 200 * time.Millisecond
	// softLimitShare is the share of the memory limit above which the garbage collector runs more
	// often.
	softLimitShare = 0.5
	// gcPercent is the growth of the heap between garbage collections. Memory is scarcer than
	// processor time: collecting small heaps is cheap.
	gcPercent = 100
)

// Program is what entries and agents behind a fabric of flows have in common: settings, log and
// metrics.
type Program struct {
	Settings *Settings
	Logger   log.Logger
	Metrics  *metrics.Set
	logs     *logging.Queue
}

// NewProgram sets the memory limits of the process and opens its log.
func NewProgram(s *Settings, logs io.Writer) *Program {
	debug.SetMemoryLimit(int64(softLimitShare * float64(s.MemoryMB<<20)))
	debug.SetGCPercent(gcPercent)
	q := logging.NewQueue(logs)
	return &Program{Settings: s, Logger: logging.New(q, s.Name, s.LogLevel), Metrics: metrics.NewSet(), logs: q}
}

// Run runs the parts until one of them fails, or ctx ends and stop has returned. The parts run on
// while stop is called, because it needs them.
func (p *Program) Run(ctx context.Context, stop func(context.Context), parts ...func(context.Context) error) error {
	defer p.logs.Close(logFlushTimeout)
	_ = level.Info(p.Logger).Log(
		logging.KeyMessage, "started", "version", daemon.Version(), "data_centre", p.Settings.DataCentre,
		"fleet", p.Settings.Fleet, "store", p.Settings.Store, "seeds", len(p.Settings.Seeds))
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	for _, part := range parts {
		g.Go(func() error { return part(running) })
	}
	g.Go(func() error {
		return daemon.Serve(running, p.Settings.Metrics, daemon.ObservabilityHandler(p.Metrics, func() string { return "ok" }))
	})
	select {
	case <-running.Done():
	case <-ctx.Done():
		_ = level.Info(p.Logger).Log(logging.KeyMessage, "stopping")
		stop(running)
		cancel()
	}
	err := g.Wait()
	_ = level.Info(p.Logger).Log(logging.KeyMessage, "stopped", logging.KeyError, err)
	return err
}

// Serve returns a part that serves HTTP.
func Serve(address string, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error { return daemon.Serve(ctx, address, h) }
}

// WatchSettings returns a part that reloads the settings file on SIGHUP and when the file has
// changed. Only the seeds take effect in a running program; other changed fields are logged and
// take effect at the next start.
func WatchSettings[T any](p *Program, f *Fleet, path string, current *T, load func(string) (*T, error),
	shared func(*T) *Settings) func(context.Context) error {
	return func(ctx context.Context) error {
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		defer signal.Stop(hangup)
		ticker := time.NewTicker(settingsCheckInterval)
		defer ticker.Stop()
		lastModified := modificationTime(path)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangup:
			case <-ticker.C:
				if modificationTime(path).Equal(lastModified) {
					continue
				}
			}
			lastModified = modificationTime(path)
			next, err := load(path)
			if err != nil {
				_ = level.Error(p.Logger).Log(logging.KeyMessage, "settings reload failed", logging.KeyError, err)
				continue
			}
			f.setSeeds(shared(next).Seeds)
			restart := changedFields(current, next)
			_ = level.Info(p.Logger).Log(logging.KeyMessage, "settings reloaded", "seeds", len(shared(next).Seeds),
				"need_restart", restart)
		}
	}
}

func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // the error is reported when the file is loaded
	}
	return info.ModTime()
}

// changedFields returns the YAML names of the fields that differ, except the seeds.
func changedFields(a, b any) string {
	names := ""
	var walk func(x, y reflect.Value)
	walk = func(x, y reflect.Value) {
		for i := range x.NumField() {
			field := x.Type().Field(i)
			if field.Anonymous {
				walk(x.Field(i), y.Field(i))
				continue
			}
			if field.Name != "Seeds" && !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
				names += field.Tag.Get("yaml") + " "
			}
		}
	}
	walk(reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem())
	return names
}

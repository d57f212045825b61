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
	// settingsCheck is the interval in which a program looks for a settings file that changed without a signal.
	settingsCheck = 5 * time.Second
	// logsAtEnd is how long a program waits for a slow reader of its log when it ends.
	logsAtEnd = 200 * time.Millisecond
	// heapShare is the part of the memory limit from which the garbage collector runs more often.
	heapShare = 0.5
	// collectAt is the growth of the heap between garbage collections, in percent. Memory is dearer than the time of small heaps.
	collectAt = 100
)

// Program is what the programs behind a fabric of flows have in common while they run.
type Program struct {
	Settings *Settings
	Logger   log.Logger
	Metrics  *metrics.Set
	logs     *logging.Queue
}

// NewProgram starts the log of a program.
func NewProgram(s *Settings, logs io.Writer) *Program {
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB<<20)))
	debug.SetGCPercent(collectAt)
	q := logging.NewQueue(logs)
	return &Program{Settings: s, Logger: logging.New(q, s.Name, s.LogLevel), Metrics: metrics.NewSet(), logs: q}
}

// Run runs the parts until stop, which the context's end starts, has returned. The parts outlive ctx, because they are needed to stop.
func (p *Program) Run(ctx context.Context, stop func(context.Context), parts ...func(context.Context) error) error {
	defer p.logs.Close(logsAtEnd)
	_ = level.Info(p.Logger).Log(
		logging.KeyMessage, "started", "version", daemon.Version(), "data_centre", p.Settings.DataCentre, "fleet", p.Settings.Fleet,
		"store", p.Settings.Store, "seeds", len(p.Settings.Seeds))
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	for _, part := range parts {
		g.Go(func() error { return part(running) })
	}
	g.Go(func() error {
		return daemon.Serve(running, p.Settings.Metrics, daemon.Observability(p.Metrics, func() string { return "ok" }))
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

// WatchSettings returns a part that reads the settings file again on SIGHUP and when the file has changed. No field can change in a running
// program except the seeds; others are logged, and take effect at the next start.
func WatchSettings[T any](p *Program, f *Fleet, path string, current *T, load func(string) (*T, error), shared func(*T) *Settings) func(context.Context) error {
	return func(ctx context.Context) error {
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		defer signal.Stop(hangup)
		ticker := time.NewTicker(settingsCheck)
		defer ticker.Stop()
		changed := modified(path)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangup:
			case <-ticker.C:
				if modified(path).Equal(changed) {
					continue
				}
			}
			changed = modified(path)
			next, err := load(path)
			if err != nil {
				_ = level.Error(p.Logger).Log(logging.KeyMessage, "settings not reloaded", logging.KeyError, err)
				continue
			}
			f.setSeeds(shared(next).Seeds)
			restart := differences(current, next)
			_ = level.Info(p.Logger).Log(logging.KeyMessage, "settings reloaded", "seeds", len(shared(next).Seeds), "need_restart", restart)
		}
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // reported when the file is loaded
	}
	return info.ModTime()
}

// differences names the fields that differ, but for the seeds.
func differences(a, b any) string {
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

// Package daemon provides the command line and the HTTP endpoints that the programs have in common.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

const (
	// headerTimeout bounds how long a client may take to send a request's header.
	headerTimeout = 5 * time.Second
	// closeGrace is how long open requests may take after a server has stopped accepting
	// connections.
	closeGrace = time.Second
	exitUsage  = 2
)

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Main parses the command line of a program with a settings file, and runs the program until SIGINT
// or SIGTERM. It exits with 1 if run fails, and with 2 if the command line is wrong.
func Main(name string, run func(ctx context.Context, config string) error) {
	var o options
	_, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse()
	switch {
	case flags.WroteHelp(err):
		fmt.Println(err)
		return
	case err != nil:
		exit(name, err, exitUsage)
	case o.Version:
		fmt.Println(name, Version())
		return
	case o.Config == "":
		exit(name, errors.New("--config is required"), exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err = run(ctx, o.Config)
	stop()
	if err != nil {
		exit(name, err, 1)
	}
}

func exit(name string, err error, code int) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(code)
}

// release is the version of all programs, which are released together.
const release = "0.1.0"

// Version returns the release, and the commit if it is in the build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return release + " " + s.Value
		}
	}
	return release
}

// ObservabilityHandler serves /metrics, and /healthz with the text that health returns.
func ObservabilityHandler(set *metrics.Set, health func() string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, health()+"\n")
	})
	return mux
}

// Serve serves HTTP until the context ends. Open requests then get closeGrace to finish, in the
// background.
func Serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeGrace)
		defer cancel()
		if server.Shutdown(closing) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", address)
	}
	return nil
}

package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/policy/yamlfile"
)

// Settings is the content of the program's settings file.
type Settings struct {
	Listen string `yaml:"listen"`
	Limits Limits `yaml:"limits"`
}

type arguments struct {
	Config  string   `long:"config" description:"settings file" value-name:"FILE"`
	Listen  string   `long:"listen" description:"host:port to listen on; overrides the file" value-name:"HOST:PORT"`
	Writes  *float64 `long:"writes" description:"writes per second; overrides the file"`
	Reads   *float64 `long:"reads" description:"reads per second; overrides the file"`
	Version bool     `long:"version" description:"print the version and exit"`
}

// shutdownTimeout limits the time for calls in progress when the program ends. Watches that wait
// for longer are aborted.
const shutdownTimeout = time.Second

// Main runs the program until the context ends and returns its exit code.
func Main(ctx context.Context, args []string, version string) int {
	var a arguments
	if _, err := flags.NewParser(&a, flags.Default).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 2
	}
	if a.Version {
		fmt.Println(version)
		return 0
	}
	if err := run(ctx, &a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func run(ctx context.Context, a *arguments) error {
	s, err := a.settings()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: NewServer(s.Limits), ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	fmt.Fprintf(os.Stderr, "msg=\"listening\" address=%s\n", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func (a *arguments) settings() (*Settings, error) {
	s := &Settings{Limits: DefaultLimits}
	if a.Config != "" {
		var err error
		if s, err = config.Load(a.Config, *s, check); err != nil {
			return nil, err
		}
	}
	if a.Listen != "" {
		s.Listen = a.Listen
	}
	if a.Writes != nil {
		s.Limits.Writes = *a.Writes
	}
	if a.Reads != nil {
		s.Limits.Reads = *a.Reads
	}
	if s.Listen == "" {
		return nil, errors.New("want --listen host:port or --config FILE")
	}
	return s, nil
}

func check(s *Settings, f *yamlfile.Faults) {
	if s.Listen != "" {
		config.CheckHostPort(f, "$.listen", s.Listen)
	}
	if s.Limits.Writes <= 0 {
		f.Add("$.limits.writes", "want more than 0")
	}
	if s.Limits.Reads <= 0 {
		f.Add("$.limits.reads", "want more than 0")
	}
}

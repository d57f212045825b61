// Package cli has the code that the bench programs share: the main function, the HTTP server and
// the decoding of JSON requests.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"lacewinglever.dev/node/daemon"
)

const (
	// headerTimeout bounds how long a client may take to send a request's header.
	headerTimeout = 5 * time.Second
	maxBodyBytes  = 1 << 20
)

// CommonOptions are the options of every program that uses Main.
type CommonOptions struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// Main parses the options and runs the program until SIGINT or SIGTERM. It exits with 1 on an error
// of the program, and with 2 on an error in the options.
func Main(options any, common *CommonOptions, run func(context.Context) error) {
	if _, err := flags.Parse(options); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if common.Version {
		fmt.Println(daemon.Version())
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Serve serves HTTP on the address until the context ends or the server is closed. It returns once
// the address is bound.
func Serve(ctx context.Context, address string, handler http.Handler) (io.Closer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return server, nil
}

// ReadJSON decodes a request's body into v. Unknown fields are errors; fields that are not in the
// body keep their value.
func ReadJSON(r *http.Request, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(v)
}

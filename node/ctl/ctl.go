// Package ctl implements the commands of lacewingctl. They work on the platform's object API;
// explain, and status if nodes are missing, also query the fleet's nodes.
package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/node/objects"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/settings"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command failed, or the spec was refused
	ExitUsage    = 2 // the call is wrong, or check can't read a file
	ExitConflict = 3 // the object was changed by another writer
)

// program holds the options of lacewingctl and its commands.
type program struct {
	Platform string        `long:"platform" env:"LACEWING_PLATFORM" description:"URL of the platform" value-name:"URL"`
	As       string        `long:"as" env:"LACEWING_AS" description:"name of the writer: a person, or team/person" value-name:"NAME"`
	Timeout  time.Duration `long:"call-timeout" default:"10s" description:"longest time for one call, retries included"`
	Config   string        `long:"config" description:"settings file with the fleet's entries and keys, for explain and for the causes in status" value-name:"FILE"`
	Version  bool          `long:"version" description:"print the version and exit"`

	Validate validateCommand `command:"validate" description:"check a settings file"`
	Check    checkCommand    `command:"check" description:"check a configuration before it is sent, and print its difference to another"`
	Apply    applyCommand    `command:"apply" description:"write the settings of a service"`
	Get      getCommand      `command:"get" description:"print the settings of a service"`
	Status   statusCommand   `command:"status" description:"print the status of a service"`
	History  historyCommand  `command:"history" description:"print the accepted revisions of a service"`
	Drain    drainCommand    `command:"drain" description:"drain the target of an agent"`
	Undrain  undrainCommand  `command:"undrain" description:"end the drain of an agent's target, which receives new work again"`
	Delete   deleteCommand   `command:"delete" description:"delete a service"`
	Explain  explainCommand  `command:"explain" description:"print the home and the owner of a caller's flow, and why"`

	Trace traceCommand `command:"trace" description:"print the log lines about a flow behind a fabric that delivers whole flows"`

	out io.Writer
}

// command is one subcommand.
type command interface {
	run(context.Context, *program) error
}

// Main runs the command in args and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer, version string) int {
	p := &program{out: out}
	parser := flags.NewNamedParser("lacewingctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Application Options", "", p); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return reportUsage(err, out, errOut)
	}
	if p.Version {
		fmt.Fprintln(out, version)
		return ExitOK
	}
	active := parser.Active
	if active == nil {
		parser.WriteHelp(errOut)
		return ExitUsage
	}
	if err := p.command(active.Name).run(ctx, p); err != nil {
		fmt.Fprintf(errOut, "lacewingctl: %v\n", err)
		return exitCode(err)
	}
	return ExitOK
}

func reportUsage(err error, out, errOut io.Writer) int {
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return ExitOK
	}
	fmt.Fprintf(errOut, "lacewingctl: %v\n", err)
	return ExitUsage
}

func exitCode(err error) int {
	if conflict := (*objectapi.ConflictError)(nil); errors.As(err, &conflict) {
		return ExitConflict
	}
	if unusable := (unusableError{}); errors.As(err, &unusable) {
		return ExitUsage
	}
	return ExitFailed
}

func (p *program) command(name string) command {
	switch name {
	case "validate":
		return &p.Validate
	case "check":
		return &p.Check
	case "apply":
		return &p.Apply
	case "get":
		return &p.Get
	case "status":
		return &p.Status
	case "history":
		return &p.History
	case "drain":
		return &p.Drain
	case "undrain":
		return &p.Undrain
	case "explain":
		return &p.Explain
	case "trace":
		return &p.Trace
	}
	return &p.Delete
}

func (p *program) client() (*objectapi.Client, error) {
	if p.Platform == "" {
		return nil, errors.New("--platform URL is required")
	}
	return objectapi.New(objectapi.Options{URL: p.Platform, Timeout: p.Timeout})
}

// serviceClient parses the name of a service and returns it with a client.
func (p *program) serviceClient(name string) (ident.ServiceName, *objectapi.Client, error) {
	service, err := ident.ParseServiceName(name)
	if err != nil {
		return service, nil, err
	}
	if err := settings.CheckService(service); err != nil {
		return service, nil, err
	}
	client, err := p.client()
	return service, client, err
}

// writeServiceClient is serviceClient for a command that writes. It also checks the name of the
// writer.
func (p *program) writeServiceClient(name string) (ident.ServiceName, *objectapi.Client, error) {
	service, client, err := p.serviceClient(name)
	if err != nil {
		return service, nil, err
	}
	if p.As == "" {
		return service, nil, errors.New("--as NAME is required to write")
	}
	return service, client, settings.CheckWriter(p.As, service)
}

// readSpec returns the spec of a service; version 0 if there is none.
func readSpec(ctx context.Context, c *objectapi.Client, service ident.ServiceName) (*settings.SpecObject, error) {
	o, err := c.Get(ctx, settings.ServicePath(service))
	if errors.Is(err, objectapi.ErrNotFound) {
		return &settings.SpecObject{}, nil
	}
	if err != nil {
		return nil, err
	}
	return objects.ParseSpec(o)
}

// writeSpec writes the spec of a service if its version is still ifVersion, and prints the new
// version.
func (p *program) writeSpec(ctx context.Context, c *objectapi.Client, service ident.ServiceName, ifVersion uint64,
	text []byte) error {
	id := objectapi.NewWriteID()
	version, err := c.Put(ctx, objectapi.Write{
		Path:   settings.ServicePath(service),
		If:     objectapi.AtVersion(ifVersion),
		Value:  objects.Spec{Spec: string(text), Writer: p.As, WriteID: id},
		Writer: p.As,
		ID:     id,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%s: written as version %d\n", service, version)
	return nil
}

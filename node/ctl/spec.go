package ctl

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/node/objects"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

type validateCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// placeholderService is the service of a file that is validated without being applied.
var placeholderService = ident.ServiceName{Team: "any", Name: "any"}

func (c *validateCommand) run(_ context.Context, p *program) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	if _, err := settings.Parse(c.Args.File, placeholderService, text); err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%s: valid\n", c.Args.File)
	return nil
}

type applyCommand struct {
	Unchecked bool    `long:"unchecked" description:"write without validation; an invalid spec is refused after the write"`
	IfVersion *uint64 `long:"if-version" description:"write only if the spec has this version; 0: if there is none" value-name:"N"`
	Args      struct {
		Service string `positional-arg-name:"TEAM/NAME" required:"yes"`
		File    string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

func (c *applyCommand) run(ctx context.Context, p *program) error {
	service, client, err := p.writeServiceClient(c.Args.Service)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	if !c.Unchecked {
		if _, err := settings.Parse(c.Args.File, service, text); err != nil {
			return err
		}
	}
	if c.IfVersion != nil {
		return p.writeSpec(ctx, client, service, *c.IfVersion, text)
	}
	current, err := readSpec(ctx, client, service)
	if err != nil {
		return err
	}
	if current.Version != 0 && string(current.Text) == string(text) {
		fmt.Fprintf(p.out, "%s: unchanged, version %d\n", service, current.Version)
		return nil
	}
	return p.writeSpec(ctx, client, service, current.Version, text)
}

type getCommand struct {
	Revision uint64 `long:"revision" description:"print this accepted revision" value-name:"N"`
	Args     struct {
		Service string `positional-arg-name:"TEAM/NAME" required:"yes"`
	} `positional-args:"yes"`
}

func (c *getCommand) run(ctx context.Context, p *program) error {
	service, client, err := p.serviceClient(c.Args.Service)
	if err != nil {
		return err
	}
	if c.Revision != 0 {
		r, err := readRevision(ctx, client, service, c.Revision)
		if err != nil {
			return err
		}
		fmt.Fprintf(p.out, "%s", r.Spec)
		return nil
	}
	spec, err := readExistingSpec(ctx, client, service)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%s", spec.Text)
	return nil
}

// readRevision reads an accepted revision from the history. The newest one may be only in the
// accepted object so far.
func readRevision(ctx context.Context, client *objectapi.Client, service ident.ServiceName,
	number uint64) (*record.Revision, error) {
	o, err := client.Get(ctx, settings.RevisionPath(service, number))
	if err == nil {
		return objects.ParseRevision(service, o)
	}
	newest, acceptedErr := client.Get(ctx, settings.AcceptedPath(service))
	if !errors.Is(err, objectapi.ErrNotFound) || acceptedErr != nil {
		return nil, err
	}
	r, parseErr := objects.ParseRevision(service, newest)
	if parseErr != nil || r.Number != number {
		return nil, err
	}
	return r, nil
}

func readExistingSpec(ctx context.Context, client *objectapi.Client,
	service ident.ServiceName) (*settings.SpecObject, error) {
	spec, err := readSpec(ctx, client, service)
	if err == nil && spec.Version == 0 {
		return nil, errors.Errorf("service %s does not exist", service)
	}
	return spec, err
}

type deleteCommand struct {
	Args struct {
		Service string `positional-arg-name:"TEAM/NAME" required:"yes"`
	} `positional-args:"yes"`
}

func (c *deleteCommand) run(ctx context.Context, p *program) error {
	service, client, err := p.writeServiceClient(c.Args.Service)
	if err != nil {
		return err
	}
	spec, err := readExistingSpec(ctx, client, service)
	if err != nil {
		return err
	}
	version, err := client.Delete(ctx, objectapi.Write{
		Path:   settings.ServicePath(service),
		If:     objectapi.AtVersion(spec.Version),
		Writer: p.As,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%s: deleted in version %d\n", service, version)
	return nil
}

type agentArguments struct {
	Service string `positional-arg-name:"TEAM/NAME" required:"yes"`
	Agent   string `positional-arg-name:"AGENT" required:"yes"`
}

type drainCommand struct {
	Args agentArguments `positional-args:"yes"`
}

type undrainCommand struct {
	Args agentArguments `positional-args:"yes"`
}

func (c *drainCommand) run(ctx context.Context, p *program) error {
	return p.editDrain(ctx, &c.Args, func(list []string) []string {
		if slices.Contains(list, c.Args.Agent) {
			return list
		}
		return append(slices.Clone(list), c.Args.Agent)
	})
}

func (c *undrainCommand) run(ctx context.Context, p *program) error {
	return p.editDrain(ctx, &c.Args, func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(agent string) bool { return agent == c.Args.Agent })
	})
}

func (p *program) editDrain(ctx context.Context, args *agentArguments, edit func([]string) []string) error {
	service, client, err := p.writeServiceClient(args.Service)
	if err != nil {
		return err
	}
	current, err := readExistingSpec(ctx, client, service)
	if err != nil {
		return err
	}
	spec, err := settings.Parse(service.String(), service, current.Text)
	if err != nil {
		return err
	}
	list := edit(spec.Drain)
	if slices.Equal(list, spec.Drain) {
		fmt.Fprintf(p.out, "%s: unchanged, version %d\n", service, current.Version)
		return nil
	}
	text, err := replaceDrain(spec, current.Text, list)
	if err != nil {
		return err
	}
	return p.writeSpec(ctx, client, service, current.Version, text)
}

// replaceDrain replaces the drain list in the text and leaves the rest unchanged, including
// comments. The result is parsed again, so that a text in an unusual layout, such as a single flow
// mapping, is rejected rather than damaged.
func replaceDrain(spec *settings.Spec, text []byte, list []string) ([]byte, error) {
	var out []string
	skipping, replaced := false, false
	line := "drain: [" + strings.Join(list, ", ") + "]"
	for _, l := range strings.Split(strings.TrimRight(string(text), "\n"), "\n") {
		if strings.HasPrefix(l, "drain:") {
			skipping, replaced = true, true
			out = append(out, line)
			continue
		}
		if skipping && continuesValue(l) {
			continue
		}
		skipping = false
		out = append(out, l)
	}
	if !replaced {
		out = append(out, line)
	}
	edited := []byte(strings.Join(out, "\n") + "\n")
	want := *spec
	want.Drain = list
	got, err := settings.Parse(spec.Service.String(), spec.Service, edited)
	if err != nil {
		return nil, errors.Wrap(err, "cannot edit the drain list; use apply")
	}
	if len(list) == 0 {
		want.Drain, got.Drain = nil, nil
	}
	if !reflect.DeepEqual(&want, got) {
		return nil, errors.New("the layout of the spec does not allow the drain list to be edited; use apply")
	}
	return edited, nil
}

// continuesValue reports whether a line belongs to the value of the top-level key before it.
func continuesValue(line string) bool {
	return line != "" && strings.ContainsAny(line[:1], " \t-]")
}

package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/node/objects"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

type statusCommand struct {
	Wait    bool          `long:"wait" description:"wait until the spec is in force everywhere or refused"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest time of --wait"`
	Args    struct {
		Service string `positional-arg-name:"TEAM/NAME" required:"yes"`
	} `positional-args:"yes"`
}

func (c *statusCommand) run(ctx context.Context, p *program) error {
	service, client, err := p.serviceClient(c.Args.Service)
	if err != nil {
		return err
	}
	if c.Wait {
		return c.wait(ctx, p, client, service)
	}
	spec, err := readSpec(ctx, client, service)
	if err != nil {
		return err
	}
	status, err := readStatus(ctx, client, service)
	if err != nil {
		return err
	}
	if spec.Version == 0 && status.Version == 0 {
		return errors.Errorf("service %s does not exist", service)
	}
	p.printStatus(service, spec, &status)
	if p.Config == "" || len(status.Missing) == 0 {
		return nil
	}
	return p.printMissingCauses(ctx, service, status.Missing)
}

func readStatus(ctx context.Context, client *objectapi.Client, service ident.ServiceName) (settings.Status, error) {
	o, err := client.Get(ctx, settings.StatusPath(service))
	if errors.Is(err, objectapi.ErrNotFound) {
		return settings.Status{}, nil
	}
	if err != nil {
		return settings.Status{}, err
	}
	return objects.ParseStatus(o)
}

func (p *program) printStatus(service ident.ServiceName, spec *settings.SpecObject, s *settings.Status) {
	switch spec.Version {
	case 0:
		fmt.Fprintf(p.out, "%s: no spec\n", service)
	case s.AcceptedVersion:
		fmt.Fprintf(p.out, "%s: spec version %d by %s, accepted\n", service, spec.Version, spec.Writer)
	case s.RefusedVersion:
		fmt.Fprintf(p.out, "%s: spec version %d by %s, refused: %s\n", service, spec.Version, spec.Writer, s.Reason)
	default:
		fmt.Fprintf(p.out, "%s: spec version %d by %s, not yet processed\n", service, spec.Version, spec.Writer)
	}
	if s.Accepted == 0 {
		return
	}
	suffix := ""
	if s.Deleted {
		suffix = " (deletion)"
	}
	fmt.Fprintf(p.out, "revision %d%s: in force at %d of %d\n", s.Accepted, suffix, s.InForce, s.Nodes)
	if s.Elapsed > 0 {
		fmt.Fprintf(p.out, "in force everywhere %d ms after acceptance\n", s.Elapsed.Milliseconds())
	}
	if len(s.Missing) > 0 {
		fmt.Fprintf(p.out, "missing: %s\n", strings.Join(s.Missing, ", "))
	}
}

// wait returns when the spec that is current at the start, or a newer one, is in force everywhere
// or refused.
func (c *statusCommand) wait(ctx context.Context, p *program, client *objectapi.Client,
	service ident.ServiceName) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	o, err := client.Get(ctx, settings.ServicePath(service))
	deleted := errors.Is(err, objectapi.ErrNotFound)
	if err != nil && !deleted {
		return err
	}
	if deleted && o.Version == 0 {
		return errors.Errorf("service %s does not exist", service)
	}
	var status settings.Status
	settled := false
	update := func(l objectapi.Listing) {
		for _, changed := range l.Objects {
			if changed.Path != settings.StatusPath(service) || changed.Deleted {
				continue
			}
			if s, err := objects.ParseStatus(changed); err == nil && s.Version > status.Version {
				status = s
			}
		}
		if settled = isSettled(&status, o.Version); settled {
			cancel()
		}
	}
	listing, err := client.List(ctx, settings.StatusPath(service))
	if err != nil {
		return err
	}
	if update(listing); !settled {
		client.Watch(ctx, settings.StatusPath(service), listing.Version, update, nil)
	}
	elapsed := time.Since(started).Milliseconds()
	switch {
	case !settled:
		return errors.Errorf(
			"service %s: version %d is not in force everywhere after %d ms: revision %d (version %d) is in force at %d of %d",
			service, o.Version, elapsed, status.Accepted, status.AcceptedVersion, status.InForce, status.Nodes)
	case isRefused(&status, o.Version):
		return errors.Errorf("service %s: version %d was refused: %s", service, o.Version, status.Reason)
	}
	fmt.Fprintf(p.out, "%s: revision %d in force at %d of %d after %d ms\n", service, status.Accepted,
		status.InForce, status.Nodes, elapsed)
	return nil
}

func isRefused(s *settings.Status, version uint64) bool {
	return s.AcceptedVersion < version && s.RefusedVersion >= version
}

func isSettled(s *settings.Status, version uint64) bool {
	return isRefused(s, version) || (s.AcceptedVersion >= version && s.Elapsed > 0)
}

type historyCommand struct {
	Export string `long:"export" description:"write the revisions with their specs to this file, one JSON object per line" value-name:"FILE"`
	Check  bool   `long:"check" description:"fail if a revision is missing or out of order"`
	Args   struct {
		Service string `positional-arg-name:"TEAM/NAME" required:"yes"`
	} `positional-args:"yes"`
}

func (c *historyCommand) run(ctx context.Context, p *program) error {
	service, client, err := p.serviceClient(c.Args.Service)
	if err != nil {
		return err
	}
	listing, revisions, err := readHistory(ctx, client, service)
	if err != nil {
		return err
	}
	for _, r := range revisions {
		suffix := ""
		if r.Deleted {
			suffix = " deletion"
		}
		fmt.Fprintf(p.out, "%d %s %s version %d write %s%s\n", r.Number, r.Accepted.Format(time.RFC3339), r.Writer,
			r.SourceVersion, r.WriteID, suffix)
	}
	if c.Export != "" {
		if err := writeObjects(c.Export, listing.Objects); err != nil {
			return err
		}
	}
	if !c.Check {
		return nil
	}
	if err := settings.CheckHistory(revisions); err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%d revisions, no gaps\n", len(revisions))
	return nil
}

// readHistory returns the accepted revisions with their objects. The newest one may not be in the
// history yet. It is read before the history, so that no revision between the two is missed.
func readHistory(ctx context.Context, client *objectapi.Client,
	service ident.ServiceName) (objectapi.Listing, []record.Revision, error) {
	newest, err := client.Get(ctx, settings.AcceptedPath(service))
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Listing{}, nil, err
	}
	hasNewest := err == nil
	listing, err := client.List(ctx, settings.RevisionsPrefix(service))
	if err != nil {
		return listing, nil, err
	}
	revisions, err := parseHistory(service, &listing)
	if err != nil || !hasNewest {
		return listing, revisions, err
	}
	r, err := objects.ParseRevision(service, newest)
	if err != nil {
		return listing, revisions, err
	}
	if len(revisions) == 0 || revisions[len(revisions)-1].Number < r.Number {
		revisions = append(revisions, *r)
		listing.Objects = append(listing.Objects, newest)
	}
	return listing, revisions, nil
}

// parseHistory decodes the revisions of a service. It sorts them and the objects of the listing by
// number.
func parseHistory(service ident.ServiceName, listing *objectapi.Listing) ([]record.Revision, error) {
	revisions := make([]record.Revision, 0, len(listing.Objects))
	numbers := make(map[string]uint64, len(listing.Objects))
	for _, o := range listing.Objects {
		r, err := objects.ParseRevision(service, o)
		if err != nil {
			return nil, err
		}
		revisions = append(revisions, *r)
		numbers[o.Path] = r.Number
	}
	slices.SortFunc(revisions, func(a, b record.Revision) int { return cmp.Compare(a.Number, b.Number) })
	slices.SortFunc(listing.Objects, func(a, b objectapi.Object) int {
		return cmp.Compare(numbers[a.Path], numbers[b.Path])
	})
	return revisions, nil
}

func writeObjects(file string, list []objectapi.Object) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(f)
	for _, o := range list {
		if err := encoder.Encode(o); err != nil {
			_ = f.Close()
			return errors.Wrap(err, "export")
		}
	}
	return f.Close()
}

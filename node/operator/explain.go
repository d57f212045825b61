package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"lacewinglever.dev/node/config"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/yamlfile"
)

const (
	askTimeout = 2 * time.Second // for one node
	maxAsked   = 32              // nodes that are asked at once
)

// fleetConfig is the settings file that gives access to the nodes. The keys never appear in output.
type fleetConfig struct {
	Entries  []string     `yaml:"entries"` // rpc addresses
	Keys     []config.Key `yaml:"keys"`
	SignWith byte         `yaml:"sign_with"`
}

func (c *fleetConfig) check(f *yamlfile.Faults) {
	if len(c.Entries) == 0 {
		f.Add("$.entries", "want at least one rpc address")
	}
	for i, e := range c.Entries {
		config.CheckHostPort(f, fmt.Sprintf("$.entries[%d]", i), e)
	}
	if _, err := (&config.Node{Keys: c.Keys, SignWith: c.SignWith}).Keyring(); err != nil {
		f.Add("$.keys", "%v", err)
	}
}

// nodes asks the nodes of a fleet.
type nodes struct {
	entries []string
	http    *http.Client
}

func (p *program) nodes() (*nodes, error) {
	if p.Config == "" {
		return nil, errors.New("--config FILE is required: it names the fleet's entries and keys")
	}
	c, err := config.Load(p.Config, fleetConfig{}, (*fleetConfig).check)
	if err != nil {
		return nil, err
	}
	keys, err := (&config.Node{Keys: c.Keys, SignWith: c.SignWith}).Keyring()
	if err != nil {
		return nil, err
	}
	return &nodes{entries: c.Entries, http: rpcauth.Client(keys, netip.Addr{})}, nil
}

// entry returns what the first entry that answers explains of a service, and the nodes that it knows.
func (n *nodes) entry(ctx context.Context, service ident.ServiceName, caller string) ([]string, map[string]record.Node, error) {
	var failed error
	for _, address := range n.entries {
		lines, known, err := n.askEntry(ctx, address, service, caller)
		if err == nil {
			return append([]string{"entry at " + address}, lines...), known, nil
		}
		failed = errors.Wrapf(err, "entry at %s", address)
	}
	return nil, nil, failed
}

func (n *nodes) askEntry(ctx context.Context, address string, service ident.ServiceName, caller string) ([]string, map[string]record.Node, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := lacewingv1connect.NewEntryServiceClient(n.http, "http://"+address)
	explained, err := client.Explain(ctx, connect.NewRequest(&lacewingv1.ExplainRequest{Service: service.String(), Caller: caller}))
	if err != nil {
		return nil, nil, err
	}
	status, err := client.Status(ctx, connect.NewRequest(&lacewingv1.StatusRequest{}))
	if err != nil {
		return nil, nil, err
	}
	known := map[string]record.Node{}
	for _, m := range status.Msg.GetRecords() {
		r, err := peer.FromProto(m)
		if err == nil && r.Node != nil && (r.Node.Entry || r.Node.Service == service.ID()) {
			known[r.Node.Name] = *r.Node
		}
	}
	return explained.Msg.GetLines(), known, nil
}

// ask returns what a node tells of itself, and with a caller of its flow.
func (n *nodes) ask(ctx context.Context, node *record.Node, service ident.ServiceName, caller string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	explain := lacewingv1connect.NewAgentServiceClient(n.http, "http://"+node.RPCAddress).Explain
	if node.Entry {
		explain = lacewingv1connect.NewEntryServiceClient(n.http, "http://"+node.RPCAddress).Explain
	}
	answer, err := explain(ctx, connect.NewRequest(&lacewingv1.ExplainRequest{Service: service.String(), Caller: caller}))
	if err != nil {
		return nil, err
	}
	return answer.Msg.GetLines(), nil
}

type explainCommand struct {
	Args struct {
		Service string `positional-arg-name:"TEAM/NAME" required:"yes"`
		Caller  string `positional-arg-name:"CALLER" required:"yes" description:"host:port"`
	} `positional-args:"yes"`
}

func (c *explainCommand) run(ctx context.Context, p *program) error {
	service, err := ident.ParseServiceName(c.Args.Service)
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(c.Args.Caller); err != nil {
		return errors.Wrapf(err, "caller %q: want host:port", c.Args.Caller)
	}
	n, err := p.nodes()
	if err != nil {
		return err
	}
	lines, known, err := n.entry(ctx, service, c.Args.Caller)
	if err != nil {
		return err
	}
	fmt.Fprintln(p.out, strings.Join(lines, "\n"))
	opinions := n.askAgents(ctx, service, c.Args.Caller, known)
	for _, o := range opinions {
		if o.err != nil {
			fmt.Fprintf(p.out, "agent %s does not answer: %v\n", o.name, o.err)
		} else if o.owner != nobody || strings.Contains(lines[len(lines)-1], o.id.String()) {
			fmt.Fprintln(p.out, strings.Join(o.lines, "\n"))
		}
	}
	fmt.Fprintln(p.out, conclude(opinions))
	return nil
}

// opinion is what one agent knows of a flow.
type opinion struct {
	name  string
	id    ident.NodeID
	lines []string
	owner string // as the agent formats it
	err   error
}

// How an agent formats the owner; see package agent.
const (
	ownerPrefix = "owner known here: "
	nobody      = "none"
)

func (n *nodes) askAgents(ctx context.Context, service ident.ServiceName, caller string, known map[string]record.Node) []opinion {
	var all []opinion
	for _, node := range known {
		if !node.Entry {
			all = append(all, opinion{name: node.Name, id: node.ID, owner: nobody})
		}
	}
	slices.SortFunc(all, func(a, b opinion) int { return strings.Compare(a.name, b.name) })
	var asking errgroup.Group
	asking.SetLimit(maxAsked)
	for i := range all {
		asking.Go(func() error {
			o, node := &all[i], known[all[i].name]
			o.lines, o.err = n.ask(ctx, &node, service, caller)
			for _, line := range o.lines {
				if owner, ok := strings.CutPrefix(line, ownerPrefix); ok {
					o.owner = owner
				}
			}
			return nil
		})
	}
	_ = asking.Wait()
	return all
}

// conclude names the owner of a flow and why it is that.
func conclude(opinions []opinion) string {
	silent := 0
	named := ""
	for _, o := range opinions {
		if o.err != nil {
			silent++
		}
		if strings.Contains(o.owner, o.id.String()) {
			return fmt.Sprintf("owner: agent %s, which has opened the flow", o.name)
		}
		if o.owner != nobody {
			named = fmt.Sprintf("owner: %s, by the directory of agent %s", o.owner, o.name)
		}
	}
	switch {
	case named != "":
		return named
	case silent > 0:
		return fmt.Sprintf("owner: not known; %d agents did not answer", silent)
	}
	return "owner: none; the home places the flow at its next datagram"
}

// printCauses tells of each missing node what an entry and the node itself say.
func (p *program) printCauses(ctx context.Context, service ident.ServiceName, missing []string) error {
	n, err := p.nodes()
	if err != nil {
		return err
	}
	lines, known, err := n.entry(ctx, service, "")
	if err != nil {
		return err
	}
	for _, name := range missing {
		node, ok := known[name]
		if !ok {
			fmt.Fprintf(p.out, "%s: dead, left or unknown at the %s\n", name, lines[0])
			continue
		}
		started := time.UnixMicro(int64(node.Incarnation)).UTC().Format(time.RFC3339)
		said := fmt.Sprintf("%s: %s since its start at %s or later", name, node.State, started)
		for _, line := range lines {
			if strings.HasPrefix(line, "agent "+name+" (") {
				_, said, _ = strings.Cut(line, "): ")
				said = fmt.Sprintf("%s: started %s, %s", name, started, said)
			}
		}
		own, err := n.ask(ctx, &node, service, "")
		if err != nil {
			own = []string{"does not answer: " + err.Error()}
		}
		fmt.Fprintf(p.out, "%s; itself: %s\n", said, own[0])
	}
	return nil
}

package ctl

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
	queryTimeout         = 2 * time.Second // per node
	maxConcurrentQueries = 32              // nodes queried at a time
)

// fleetConfig is the settings file for access to the nodes. The keys never appear in output.
type fleetConfig struct {
	Entries  []string     `yaml:"entries"` // RPC addresses
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

// fleetClient queries the nodes of a fleet.
type fleetClient struct {
	entries []string
	http    *http.Client
}

func (p *program) fleetClient() (*fleetClient, error) {
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
	return &fleetClient{entries: c.Entries, http: rpcauth.Client(keys, netip.Addr{})}, nil
}

// explainAtEntry returns the explanation of the first entry that responds, and the nodes of the
// service and the entries in its records.
func (f *fleetClient) explainAtEntry(ctx context.Context, service ident.ServiceName,
	caller string) ([]string, map[string]record.Node, error) {
	var lastErr error
	for _, address := range f.entries {
		lines, nodesByName, err := f.queryEntry(ctx, address, service, caller)
		if err == nil {
			return append([]string{"entry at " + address}, lines...), nodesByName, nil
		}
		lastErr = errors.Wrapf(err, "entry at %s", address)
	}
	return nil, nil, lastErr
}

func (f *fleetClient) queryEntry(ctx context.Context, address string, service ident.ServiceName,
	caller string) ([]string, map[string]record.Node, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	client := lacewingv1connect.NewEntryServiceClient(f.http, "http://"+address)
	explanation, err := client.Explain(ctx, connect.NewRequest(&lacewingv1.ExplainRequest{Service: service.String(),
		Caller: caller}))
	if err != nil {
		return nil, nil, err
	}
	status, err := client.Status(ctx, connect.NewRequest(&lacewingv1.StatusRequest{}))
	if err != nil {
		return nil, nil, err
	}
	nodesByName := map[string]record.Node{}
	for _, m := range status.Msg.GetRecords() {
		r, err := peer.FromProto(m)
		if err == nil && r.Node != nil && (r.Node.Entry || r.Node.Service == service.ID()) {
			nodesByName[r.Node.Name] = *r.Node
		}
	}
	return explanation.Msg.GetLines(), nodesByName, nil
}

// queryNode returns a node's description of itself, and of the caller's flow if there is a caller.
func (f *fleetClient) queryNode(ctx context.Context, node *record.Node, service ident.ServiceName,
	caller string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	explain := lacewingv1connect.NewAgentServiceClient(f.http, "http://"+node.RPCAddress).Explain
	if node.Entry {
		explain = lacewingv1connect.NewEntryServiceClient(f.http, "http://"+node.RPCAddress).Explain
	}
	response, err := explain(ctx, connect.NewRequest(&lacewingv1.ExplainRequest{Service: service.String(),
		Caller: caller}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetLines(), nil
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
	fleet, err := p.fleetClient()
	if err != nil {
		return err
	}
	lines, nodesByName, err := fleet.explainAtEntry(ctx, service, c.Args.Caller)
	if err != nil {
		return err
	}
	fmt.Fprintln(p.out, strings.Join(lines, "\n"))
	views := fleet.queryAgents(ctx, service, c.Args.Caller, nodesByName)
	for _, v := range views {
		if v.err != nil {
			fmt.Fprintf(p.out, "agent %s does not answer: %v\n", v.name, v.err)
		} else if v.owner != noOwner || strings.Contains(lines[len(lines)-1], v.id.String()) {
			fmt.Fprintln(p.out, strings.Join(v.lines, "\n"))
		}
	}
	fmt.Fprintln(p.out, describeOwner(views))
	return nil
}

// agentView is the state of a flow as recorded at one agent.
type agentView struct {
	name  string
	id    ident.NodeID
	lines []string // of the agent's response
	owner string   // in the agent's format
	err   error
}

// Format of the owner in the response of an agent, see package agent.
const (
	ownerLinePrefix = "owner known here: "
	noOwner         = "none"
)

func (f *fleetClient) queryAgents(ctx context.Context, service ident.ServiceName, caller string,
	nodesByName map[string]record.Node) []agentView {
	var views []agentView
	for _, node := range nodesByName {
		if !node.Entry {
			views = append(views, agentView{name: node.Name, id: node.ID, owner: noOwner})
		}
	}
	slices.SortFunc(views, func(a, b agentView) int { return strings.Compare(a.name, b.name) })
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i := range views {
		group.Go(func() error {
			v, node := &views[i], nodesByName[views[i].name]
			v.lines, v.err = f.queryNode(ctx, &node, service, caller)
			for _, line := range v.lines {
				if owner, ok := strings.CutPrefix(line, ownerLinePrefix); ok {
					v.owner = owner
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return views
}

// describeOwner returns the owner of a flow and the reason for it.
func describeOwner(views []agentView) string {
	unanswered := 0
	byDirectory := ""
	for _, v := range views {
		if v.err != nil {
			unanswered++
		}
		if strings.Contains(v.owner, v.id.String()) {
			return fmt.Sprintf("owner: agent %s, which has opened the flow", v.name)
		}
		if v.owner != noOwner {
			byDirectory = fmt.Sprintf("owner: %s, by the directory of agent %s", v.owner, v.name)
		}
	}
	switch {
	case byDirectory != "":
		return byDirectory
	case unanswered > 0:
		return fmt.Sprintf("owner: not known; %d agents did not answer", unanswered)
	}
	return "owner: none; the home places the flow at its next datagram"
}

// printMissingCauses prints for each missing node its state at an entry and its own response.
func (p *program) printMissingCauses(ctx context.Context, service ident.ServiceName, missing []string) error {
	fleet, err := p.fleetClient()
	if err != nil {
		return err
	}
	lines, nodesByName, err := fleet.explainAtEntry(ctx, service, "")
	if err != nil {
		return err
	}
	for _, name := range missing {
		node, ok := nodesByName[name]
		if !ok {
			fmt.Fprintf(p.out, "%s: dead, left or unknown at the %s\n", name, lines[0])
			continue
		}
		started := time.UnixMicro(int64(node.Incarnation)).UTC().Format(time.RFC3339)
		summary := fmt.Sprintf("%s: %s since its start at %s or later", name, node.State, started)
		for _, line := range lines {
			if strings.HasPrefix(line, "agent "+name+" (") {
				_, summary, _ = strings.Cut(line, "): ")
				summary = fmt.Sprintf("%s: started %s, %s", name, started, summary)
			}
		}
		reply, err := fleet.queryNode(ctx, &node, service, "")
		if err != nil {
			reply = []string{"does not answer: " + err.Error()}
		}
		fmt.Fprintf(p.out, "%s; itself: %s\n", summary, reply[0])
	}
	return nil
}

package fleet

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"lacewinglever.dev/node/config"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

// explainTimeout bounds one Explain call. A paused process does not answer.
const explainTimeout = time.Second

// revisionPattern matches the revision number in an Explain response.
var revisionPattern = regexp.MustCompile(`revision (\d+)`)

// ConcernedNodes returns the running nodes that apply the settings of a service: all entries, and
// the agents of the service.
func (f *Fleet) ConcernedNodes(service string) []string {
	var names []string
	for _, n := range f.nodes {
		isConcerned := n.serviceIndex < 0 || f.Services[n.serviceIndex].FullName() == service
		if p := f.Process(n.name); isConcerned && p != nil && p.Running() {
			names = append(names, n.name)
		}
	}
	return names
}

// AppliedRevision returns the revision of a service that is in force in the data plane of a node, 0
// if none is.
func (f *Fleet) AppliedRevision(ctx context.Context, service, name string) (uint64, error) {
	i := slices.IndexFunc(f.nodes, func(n node) bool { return n.name == name })
	if i < 0 {
		return 0, errors.Errorf("no node with the name %q", name)
	}
	c := f.commonConfig(f.nodes[i])
	keys, err := c.Keyring()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	client := rpcauth.Client(keys, netip.Addr{})
	defer client.CloseIdleConnections()
	request := connect.NewRequest(&lacewingv1.ExplainRequest{Service: service})
	explain := lacewingv1connect.NewAgentServiceClient(client, "http://"+c.RPC.Listen).Explain
	if f.nodes[i].serviceIndex < 0 {
		explain = lacewingv1connect.NewEntryServiceClient(client, "http://"+c.RPC.Listen).Explain
	}
	response, err := explain(ctx, request)
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	match := revisionPattern.FindStringSubmatch(strings.Join(response.Msg.GetLines(), "\n"))
	if match == nil {
		return 0, errors.Errorf("%s: no revision in the response %q", name, response.Msg.GetLines())
	}
	return strconv.ParseUint(match[1], 10, 64)
}

// forgedKey is a key outside of the fleet's keyring.
const forgedKey = "000102030405060708090a0b0c0d0e0f"

// SendRevision sends a revision of a service to its nodes by datagram and by RPC, signed with the
// fleet's key, or with another key if forged is set. It fails if a node accepts an RPC with the
// other key.
func (f *Fleet) SendRevision(ctx context.Context, service string, number uint64, forged bool) error {
	i, err := f.serviceIndex(service)
	if err != nil {
		return err
	}
	sender := f.commonConfig(node{name: "intruder", dataCentre: 1, host: "127.1.0.254"})
	if forged {
		sender.Keys[0].Value = forgedKey
	}
	keys, err := sender.Keyring()
	if err != nil {
		return err
	}
	socket, err := transport.Open(transport.Options{Self: ident.NewNodeID(sender.Name), Listen: sender.UDP.Listen,
		Advertise: sender.UDP.Listen, Keys: keys, Metrics: metrics.NewSet()})
	if err != nil {
		return err
	}
	// Run closes the socket when its context ends.
	ended, end := context.WithCancel(ctx)
	defer func() { end(); _ = socket.Run(ended, transport.Handlers{}) }()
	revision := record.Revision{
		Service:  ident.ServiceName{Team: f.Services[i].Team, Name: f.Services[i].Name},
		Number:   number,
		Spec:     []byte(f.spec(i, "idle_timeout: 1s\n")),
		Accepted: time.Now(),
	}
	records := []*lacewingv1.Record{peer.ToProto(record.ForRevision(revision))}
	for _, name := range f.ConcernedNodes(service) {
		to := f.commonConfig(f.nodes[slices.IndexFunc(f.nodes, func(n node) bool { return n.name == name })])
		address, err := netip.ParseAddrPort(to.UDP.Listen)
		if err != nil {
			return err
		}
		gossip := &lacewingv1.Gossip{Records: records}
		if _, err := socket.SendControl(
			address, &lacewingv1.Control{Body: &lacewingv1.Control_Gossip{Gossip: gossip}}); err != nil {
			return err
		}
		client := lacewingv1connect.NewPeerServiceClient(rpcauth.Client(keys, netip.Addr{}), "http://"+to.RPC.Listen)
		_, err = client.Sync(ctx, connect.NewRequest(&lacewingv1.SyncRequest{Records: records}))
		if forged && err == nil {
			return errors.Errorf("%s accepted an RPC signed with another key", name)
		}
	}
	return nil
}

// WriteCtlConfig writes the settings file of lacewingctl for the commands that call nodes, and
// returns its path.
func (f *Fleet) WriteCtlConfig() (string, error) {
	c := f.commonConfig(node{name: "operator", dataCentre: 1, host: "127.1.0.254"})
	text, err := yaml.Marshal(struct {
		Entries  []string     `yaml:"entries"`
		Keys     []config.Key `yaml:"keys"`
		SignWith byte         `yaml:"sign_with"`
	}{c.Seeds, c.Keys, c.SignWith})
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.Dir, "lacewingctl.yaml")
	return file, os.WriteFile(file, text, 0o600)
}

// EntriesByControllerRank returns the running entries in the order of their controller rank for a
// service.
func (f *Fleet) EntriesByControllerRank(service string) ([]string, error) {
	name, err := ident.ParseServiceName(service)
	if err != nil {
		return nil, err
	}
	var entries []record.Node
	for _, n := range f.nodes {
		if p := f.Process(n.name); n.serviceIndex < 0 && p != nil && p.Running() {
			entries = append(entries, record.Node{
				ID: ident.NewNodeID(n.name), Name: n.name, Entry: true,
				DataCentre: ident.DataCentre(dataCentreName(n.dataCentre)), State: record.Ready,
			})
		}
	}
	readers := settings.StoreReaders(entries)
	ranked := make([]string, len(readers))
	for _, e := range entries {
		if rank := settings.Rank(name.ID(), e.ID, readers); rank >= 0 {
			ranked[rank] = e.Name
		}
	}
	return ranked, nil
}

// RevisionVersions returns the object version of each accepted revision of a service, by path.
func (f *Fleet) RevisionVersions(ctx context.Context, service string) (map[string]uint64, error) {
	name, err := ident.ParseServiceName(service)
	if err != nil {
		return nil, err
	}
	var listing objectapi.Listing
	err = f.call(ctx, http.MethodGet,
		"http://"+f.platformAddress()+objectapi.ListPath+"?prefix="+settings.RevisionsPrefix(name), nil, &listing)
	versions := map[string]uint64{}
	for _, o := range listing.Objects {
		versions[o.Path] = o.Version
	}
	return versions, err
}

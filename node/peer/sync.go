package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/spread"
)

// Limits and times of Sync.
const (
	syncEvery    = 2 * time.Second
	syncTimeout  = 2 * time.Second
	joinRetry    = 500 * time.Millisecond
	joinRetryMax = 5 * time.Second
	maxSyncBytes = 1 << 20 // of records in one message; what is left over follows in the next round
	maxSyncTurns = 64      // messages in one exchange, enough for the records of the whole fleet
)

// errNoEntry is why a join is repeated.
var errNoEntry = errors.New("no other entry is known yet")

// Handler returns the path and handler of PeerService. It checks the signature of requests.
func (p *Peer) Handler() (string, http.Handler) {
	path, h := lacewingv1connect.NewPeerServiceHandler(&syncService{p})
	return path, rpcauth.Handler(p.options.Keys, h)
}

type syncService struct{ peer *Peer }

// Sync compares digests of buckets in the first round and digests of records in the second, and returns the records that the caller lacks
// and the digests of those that it wants. The caller brings these in the next round.
func (s *syncService) Sync(_ context.Context, req *connect.Request[lacewingv1.SyncRequest]) (*connect.Response[lacewingv1.SyncResponse], error) {
	p, in := s.peer, req.Msg
	p.received.Add(proto.Size(in))
	p.heard.touch(ident.NodeID(in.GetSender()))
	f := filterFromProto(in.GetFilter())
	p.mergeProto(in.GetRecords(), p.pushesOn(in.GetRecords()))
	own := p.store.Digests(f)
	out := &lacewingv1.SyncResponse{Equal: own.Root() == in.GetRoot()}
	switch {
	case out.Equal:
	case len(in.GetBuckets()) == 0:
		out.Buckets = own[:]
	case len(in.GetBuckets()) != spread.Buckets:
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.Errorf("sync: %d bucket digests, want %d", len(in.GetBuckets()), spread.Buckets))
	default:
		theirs := spread.Digests(in.GetBuckets())
		missing, wanted := p.store.Missing(f, own.Differing(&theirs), in.GetHeld())
		out.Records, out.Wanted = bounded(missing), wanted
	}
	p.sent.Add(proto.Size(out))
	return connect.NewResponse(out), nil
}

func filterFromProto(f *lacewingv1.Filter) spread.Filter {
	return spread.Filter{Service: ident.ServiceID(f.GetService()), DataCentre: ident.DataCentre(f.GetDataCentre())}
}

// bounded converts records up to maxSyncBytes, at least one.
func bounded(records []record.Record) []*lacewingv1.Record {
	var out []*lacewingv1.Record
	size := 0
	for _, r := range records {
		m := ToProto(r)
		size += proto.Size(m)
		if len(out) > 0 && size > maxSyncBytes {
			break
		}
		out = append(out, m)
	}
	return out
}

// pushesOn tells whether records that came by Sync are pushed on. Agents push only their own.
func (p *Peer) pushesOn(records []*lacewingv1.Record) bool {
	return p.options.Self.Entry && len(records) <= bulkRecords
}

// mergeProto merges records from a peer and returns how many were new here. An agent keeps only what its filter selects.
func (p *Peer) mergeProto(records []*lacewingv1.Record, push bool) (changed int) {
	f := p.filter()
	for _, m := range records {
		r, err := FromProto(m)
		if err != nil {
			p.malformed.Inc()
			_ = level.Debug(p.options.Logger).Log(logging.KeyMessage, "record dropped", logging.KeyError, err)
			continue
		}
		if f.Matches(&r) && p.merge(r, push) {
			changed++
		}
	}
	return changed
}

// syncWith exchanges records with the node at an rpc address until both hold the same.
func (p *Peer) syncWith(ctx context.Context, address string) error {
	client := lacewingv1connect.NewPeerServiceClient(p.client, "http://"+address)
	var differing *spread.BucketSet
	var wanted []uint64
	for range maxSyncTurns {
		req, own := p.syncRequest(differing, wanted)
		resp, err := p.call(ctx, client, req)
		if err != nil {
			return err
		}
		if resp.GetEqual() {
			return nil
		}
		changed := p.mergeProto(resp.GetRecords(), p.pushesOn(resp.GetRecords()))
		if len(resp.GetBuckets()) == spread.Buckets {
			theirs := spread.Digests(resp.GetBuckets())
			differing = own.Differing(&theirs)
			continue
		}
		// What the other node still wants after it was sent, it refuses.
		refused := len(wanted) > 0 && len(resp.GetWanted()) >= len(wanted)
		wanted = resp.GetWanted()
		if changed == 0 && (len(wanted) == 0 || refused) {
			return nil
		}
	}
	return nil
}

// syncRequest makes a message. From the second round, when the differing buckets are known, it holds the digests of the buckets and of the
// own records in those, and the records that the other node wants.
func (p *Peer) syncRequest(differing *spread.BucketSet, wanted []uint64) (*lacewingv1.SyncRequest, *spread.Digests) {
	f := p.filter()
	own := p.store.Digests(f)
	req := &lacewingv1.SyncRequest{
		Sender: uint64(p.options.Self.ID),
		Filter: &lacewingv1.Filter{Service: uint64(f.Service), DataCentre: string(f.DataCentre)},
		Root:   own.Root(),
	}
	if differing != nil {
		req.Buckets = own[:]
		req.Held = p.store.RecordDigests(f, differing)
	}
	if len(wanted) > 0 {
		req.Records = bounded(p.store.Find(f, differing, wanted))
	}
	return req, own
}

func (p *Peer) call(ctx context.Context, client lacewingv1connect.PeerServiceClient, req *lacewingv1.SyncRequest) (*lacewingv1.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	p.sent.Add(proto.Size(req))
	p.syncs.Inc()
	resp, err := client.Sync(ctx, connect.NewRequest(req))
	if err != nil {
		p.syncFails.Inc()
		return nil, errors.Wrap(err, "sync")
	}
	p.received.Add(proto.Size(resp.Msg))
	return resp.Msg, nil
}

// pushByRPC hands records to a node that are too large for a datagram.
func (p *Peer) pushByRPC(id ident.NodeID, records []*lacewingv1.Record) {
	n, ok := p.Node(id)
	if !ok {
		return
	}
	client := lacewingv1connect.NewPeerServiceClient(p.client, "http://"+n.RPCAddress)
	req, _ := p.syncRequest(nil, nil)
	req.Records = records
	_, _ = p.call(context.Background(), client, req)
}

// join synchronises with the seeds until another entry is known, with growing and jittered pauses. It goes on in the background while
// no other entry is known, because the first entries of a fleet start without any.
func (p *Peer) join(ctx context.Context) error {
	pause := joinRetry
	for ctx.Err() == nil {
		if err := p.tryJoin(ctx); err != nil {
			_ = level.Info(p.options.Logger).Log(logging.KeyMessage, "join not complete", logging.KeyError, err)
		} else {
			pause = joinRetryMax
		}
		if !timing.Sleep(ctx, timing.Jitter(pause)) {
			return nil
		}
		pause = min(2*pause, joinRetryMax)
	}
	return nil
}

// tryJoin does nothing once another entry is known; anti-entropy takes over then.
func (p *Peer) tryJoin(ctx context.Context) error {
	if len(p.randomEntries(1)) > 0 || len(p.options.Seeds) == 0 {
		return nil
	}
	var failed error
	for _, i := range rand.Perm(len(p.options.Seeds)) {
		seed := p.options.Seeds[i]
		if seed == p.options.Self.RPCAddress {
			continue
		}
		if err := p.syncWith(ctx, seed); err != nil {
			failed = errors.Wrapf(err, "seed %s", seed)
		}
	}
	if len(p.randomEntries(1)) > 0 {
		p.announce(p.Self())
		return nil
	}
	if failed == nil {
		failed = errNoEntry
	}
	return failed
}

// antiEntropy synchronises with one random peer every syncEvery: an agent with one of its watchers, an entry with any other.
func (p *Peer) antiEntropy(ctx context.Context) error {
	for timing.Sleep(ctx, timing.Jitter(syncEvery)) {
		candidates := p.randomEntries(1)
		if w := p.watchers(); !p.options.Self.Entry && len(w) > 0 {
			candidates = []ident.NodeID{w[rand.IntN(len(w))]}
		}
		for _, id := range candidates {
			n, _ := p.Node(id)
			if err := p.syncWith(ctx, n.RPCAddress); err != nil && ctx.Err() == nil {
				_ = level.Debug(p.options.Logger).Log(logging.KeyMessage, "anti-entropy", "peer", n.Name, logging.KeyError, err)
			}
		}
	}
	return nil
}

// reconnect synchronises every syncEvery with one entry that is held dead or is in a scope that is down. Two sides of a healed partition
// have no other reason to talk.
func (p *Peer) reconnect(ctx context.Context) error {
	for timing.Sleep(ctx, timing.Jitter(syncEvery)) {
		lost := p.index.lostEntries()
		if !p.options.Self.Entry || len(lost) == 0 {
			continue
		}
		n := lost[rand.IntN(len(lost))]
		if err := p.syncWith(ctx, n.RPCAddress); err != nil && ctx.Err() == nil {
			_ = level.Debug(p.options.Logger).Log(logging.KeyMessage, "reconnect", "peer", n.Name, logging.KeyError, err)
		}
	}
	return nil
}

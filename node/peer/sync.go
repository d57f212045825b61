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
	"lacewinglever.dev/policy/gossip"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// Limits and times of Sync.
const (
	syncInterval     = 2 * time.Second
	syncTimeout      = 2 * time.Second
	firstJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff   = 5 * time.Second
	maxSyncBytes     = 1 << 20 // of records in one message; the others follow in the next round
	maxSyncRounds    = 64      // messages in one exchange; enough for the records of the whole fleet
)

// errNoEntryKnown is the reason for another join attempt.
var errNoEntryKnown = errors.New("no other entry is known yet")

// Handler returns the path and the handler of PeerService. The handler checks the signature of
// requests.
func (p *Peer) Handler() (string, http.Handler) {
	path, h := lacewingv1connect.NewPeerServiceHandler(&syncService{p})
	return path, rpcauth.Handler(p.options.Keys, h)
}

type syncService struct{ peer *Peer }

// Sync compares bucket digests in the first round and record digests in the second. It returns the
// records that the caller lacks, and the digests of those that this node lacks. The caller sends
// these in the next round.
func (s *syncService) Sync(_ context.Context,
	req *connect.Request[lacewingv1.SyncRequest]) (*connect.Response[lacewingv1.SyncResponse], error) {
	p, in := s.peer, req.Msg
	p.received.Add(proto.Size(in))
	p.activity.markSeen(ident.NodeID(in.GetSender()))
	f := filterFromProto(in.GetFilter())
	p.mergeProto(in.GetRecords(), p.shouldPush(in.GetRecords()))
	own := p.store.Digests(f)
	out := &lacewingv1.SyncResponse{Equal: own.Root() == in.GetRoot()}
	switch {
	case out.Equal:
	case len(in.GetBuckets()) == 0:
		out.Buckets = own[:]
	case len(in.GetBuckets()) != gossip.Buckets:
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.Errorf("sync: %d bucket digests, want %d", len(in.GetBuckets()), gossip.Buckets))
	default:
		theirs := gossip.Digests(in.GetBuckets())
		missing, wanted := p.store.Missing(f, own.Differing(&theirs), in.GetHeld())
		out.Records, out.Wanted = limitRecords(missing), wanted
	}
	p.sent.Add(proto.Size(out))
	return connect.NewResponse(out), nil
}

func filterFromProto(f *lacewingv1.Filter) gossip.Filter {
	return gossip.Filter{Service: ident.ServiceID(f.GetService()), DataCentre: ident.DataCentre(f.GetDataCentre())}
}

// limitRecords converts records up to a total of maxSyncBytes, but at least one.
func limitRecords(records []record.Record) []*lacewingv1.Record {
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

// shouldPush reports whether records received by Sync are queued for other peers. Agents push only
// their own records.
func (p *Peer) shouldPush(records []*lacewingv1.Record) bool {
	return p.options.Self.Entry && len(records) <= maxForwardedSyncRecords
}

// mergeProto merges records from a peer and returns the number of new ones. An agent keeps only
// those that match its filter.
func (p *Peer) mergeProto(records []*lacewingv1.Record, push bool) (changed int) {
	f := p.filter()
	for _, m := range records {
		r, err := FromProto(m)
		if err != nil {
			p.malformed.Inc()
			_ = level.Debug(p.options.Logger).Log(logging.KeyMessage, "malformed record dropped", logging.KeyError, err)
			continue
		}
		if f.Matches(&r) && p.merge(r, push) {
			changed++
		}
	}
	return changed
}

// syncWith exchanges records with the node at an RPC address until both have the same ones.
func (p *Peer) syncWith(ctx context.Context, address string) error {
	client := lacewingv1connect.NewPeerServiceClient(p.client, "http://"+address)
	var differing *gossip.BucketSet
	var wanted []uint64
	for range maxSyncRounds {
		req, own := p.syncRequest(differing, wanted)
		resp, err := p.call(ctx, client, req)
		if err != nil {
			return err
		}
		if resp.GetEqual() {
			return nil
		}
		changed := p.mergeProto(resp.GetRecords(), p.shouldPush(resp.GetRecords()))
		if len(resp.GetBuckets()) == gossip.Buckets {
			theirs := gossip.Digests(resp.GetBuckets())
			differing = own.Differing(&theirs)
			continue
		}
		// Records that are still requested after they were sent are rejected by the other node.
		rejected := len(wanted) > 0 && len(resp.GetWanted()) >= len(wanted)
		wanted = resp.GetWanted()
		if changed == 0 && (len(wanted) == 0 || rejected) {
			return nil
		}
	}
	return nil
}

// syncRequest builds a message. From the second round on, when the differing buckets are known, it
// contains the bucket digests, the digests of this node's records in the differing buckets, and the
// records that the other node requested.
func (p *Peer) syncRequest(differing *gossip.BucketSet, wanted []uint64) (*lacewingv1.SyncRequest, *gossip.Digests) {
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
		req.Records = limitRecords(p.store.Find(f, differing, wanted))
	}
	return req, own
}

func (p *Peer) call(ctx context.Context, client lacewingv1connect.PeerServiceClient,
	req *lacewingv1.SyncRequest) (*lacewingv1.SyncResponse, error) {
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

// pushByRPC sends records that are too large for a datagram.
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

// join synchronises with the seeds until another entry is known, with exponential backoff and
// jitter. It keeps running in the background while no other entry is known, because the first
// entries of a fleet start without any.
func (p *Peer) join(ctx context.Context) error {
	backoff := firstJoinBackoff
	for ctx.Err() == nil {
		if err := p.tryJoin(ctx); err != nil {
			_ = level.Info(p.options.Logger).Log(logging.KeyMessage, "join incomplete, retrying", logging.KeyError, err)
		} else {
			backoff = maxJoinBackoff
		}
		if !timing.Sleep(ctx, timing.Jitter(backoff)) {
			return nil
		}
		backoff = min(2*backoff, maxJoinBackoff)
	}
	return nil
}

// tryJoin does nothing once another entry is known, as anti-entropy takes over then.
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
		failed = errNoEntryKnown
	}
	return failed
}

// antiEntropy synchronises every syncInterval with one random peer: an agent with one of its
// watchers, an entry with any other entry.
func (p *Peer) antiEntropy(ctx context.Context) error {
	for timing.Sleep(ctx, timing.Jitter(syncInterval)) {
		candidates := p.randomEntries(1)
		if w := p.watchers(); !p.options.Self.Entry && len(w) > 0 {
			candidates = []ident.NodeID{w[rand.IntN(len(w))]}
		}
		for _, id := range candidates {
			n, _ := p.Node(id)
			if err := p.syncWith(ctx, n.RPCAddress); err != nil && ctx.Err() == nil {
				_ = level.Debug(p.options.Logger).Log(logging.KeyMessage, "anti-entropy", "peer", n.Name,
					logging.KeyError, err)
			}
		}
	}
	return nil
}

// reconnect synchronises every syncInterval with one entry that is marked dead or is in a scope
// that is down. After a partition has healed, no other exchange would connect its two sides again.
func (p *Peer) reconnect(ctx context.Context) error {
	for timing.Sleep(ctx, timing.Jitter(syncInterval)) {
		lost := p.index.lostEntries()
		if !p.options.Self.Entry || len(lost) == 0 {
			continue
		}
		n := lost[rand.IntN(len(lost))]
		if err := p.syncWith(ctx, n.RPCAddress); err != nil && ctx.Err() == nil {
			_ = level.Debug(p.options.Logger).Log(logging.KeyMessage, "reconnect", "peer", n.Name,
				logging.KeyError, err)
		}
	}
	return nil
}

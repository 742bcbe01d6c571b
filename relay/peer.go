package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/limit"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/presence"
	"github.com/fulmarhitch/fulmarhitch/response"
)

const (
	// procedure is the path of the only call between VMs.
	procedure = "/fulmarhitch.relay.v2.Relay/Follow"
	// dialTimeout bounds the dial of a VM. Round trips take 70 ms at most. After a loss of power, VMs that start early dial relays
	// that have no power yet, one after the other.
	dialTimeout = 150 * time.Millisecond
	// idleTimeout closes connections to VMs that are no longer followed.
	idleTimeout = 10 * time.Second
	// maxWait is the longest wait that a follower may request.
	maxWait = 10 * time.Second
	// maxMessage bounds a message in bytes. Ten thousand entries compress to less than 2 MB.
	maxMessage = 16 << 20
	// maxValues bounds the values in a message, of which a VM takes at most 7.
	maxValues = 100_000
	// snapshotWait is how long a peer without entries waits for them before it answers.
	snapshotWait = 400 * time.Millisecond
)

// wireFollow is a request for the changes after a revision.
type wireFollow struct {
	After uint64 `json:"after"`
	// Era is the era of After; an earlier release sends none.
	Era    uint64 `json:"era,omitempty"`
	WaitMS int64  `json:"wait-ms"`
	// Reporter, Digest and VMs are the follower's report; the VMs are omitted if the receiver should have them.
	Reporter string   `json:"reporter"`
	Digest   uint64   `json:"digest"`
	VMs      []wireVM `json:"vms,omitempty"`
	// SilencesMS are the times since the VMs reported themselves, also if the VMs are omitted; an earlier release sends none.
	SilencesMS []int64 `json:"silences-ms,omitempty"`
	// ListOrigin and ListVersion are the origin and version of the list of VMs that the follower has.
	ListOrigin  string `json:"list-origin"`
	ListVersion uint64 `json:"list-version"`
	// ListAgeMS is the time since that list was confirmed, or 0 if it isn't known.
	ListAgeMS int64 `json:"list-age-ms,omitempty"`
}

// wireBatch is the answer to a wireFollow.
type wireBatch struct {
	// Entries is a block of entries.
	Entries  []byte `json:"entries,omitempty"`
	Whole    bool   `json:"whole"`
	Revision uint64 `json:"revision"`
	// Era is the era of the revisions; an earlier release sends none.
	Era   uint64 `json:"era,omitempty"`
	AgeMS int64  `json:"age-ms"`
	// SentAgeMS is the time from the sending of the call of the store that the entries come from to the arrival of the follower's
	// request, negative if the latter came first. It is missing if it isn't known; an earlier release states none.
	SentAgeMS *int64 `json:"sent-age-ms,omitempty"`
	Fresh     bool   `json:"fresh"`
	// Reader is the incarnation of the VM that called the store for the entries; an earlier release states none.
	Reader string `json:"reader,omitempty"`
	// OutageMS is the time since the end of the last outage of the store, or 0 if there was none.
	OutageMS int64 `json:"outage-ms,omitempty"`
	// Unknown reports that the VMs of the follower's report are needed.
	Unknown bool     `json:"unknown,omitempty"`
	List    wireList `json:"list"`
}

// wireList is the list of VMs, or the changes to it.
type wireList struct {
	Origin  string   `json:"origin"`
	Version uint64   `json:"version"`
	Whole   bool     `json:"whole,omitempty"`
	VMs     []wireVM `json:"vms,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// AgeMS is the time since the list was confirmed, or 0 from an earlier release, which states no silences either.
	AgeMS      int64            `json:"age-ms,omitempty"`
	SilencesMS map[string]int64 `json:"silences-ms,omitempty"`
}

type wireVM struct {
	Name          string  `json:"name"`
	Incarnation   string  `json:"incarnation"`
	Address       string  `json:"address"`
	PeerAddress   string  `json:"peer-address,omitempty"`
	FailureDomain string  `json:"failure-domain"`
	LinkRate      float64 `json:"link-rate,omitempty"`
	Serving       bool    `json:"serving,omitempty"`
	// CutOff is missing in messages of an earlier release, whose VMs don't detect it.
	CutOff bool `json:"cut-off,omitempty"`
	// Organisations reports that the VM serves passed requests of organisations; it is missing there too.
	Organisations bool `json:"organisations,omitempty"`
	// Sequence is missing there too.
	Sequence uint64 `json:"sequence,omitempty"`
}

// codec is JSON for messages without a protobuf schema.
type codec struct{}

// Name returns the name of the content type.
func (codec) Name() string { return "json" }

// Marshal encodes a message.
func (codec) Marshal(m any) ([]byte, error) { return json.Marshal(m) }

// Unmarshal decodes a message. The number of its values is bounded by that of its commas, because elements without content
// take far more memory than bytes.
func (codec) Unmarshal(data []byte, m any) error {
	if n := bytes.Count(data, []byte{','}); n > maxValues {
		return errors.Newf("relay: message has %d values, more than %d", n, maxValues)
	}
	return json.Unmarshal(data, m)
}

// Handler serves the log and the list of VMs to followers, and records their reports.
func Handler(l *Log, vms *presence.Table) http.Handler {
	p := &packer{}
	return connect.NewUnaryHandler(procedure, func(ctx context.Context, req *connect.Request[wireFollow]) (*connect.Response[wireBatch], error) {
		ctx, cancel := context.WithTimeout(ctx, min(decodeAge(req.Msg.WaitMS), maxWait))
		defer cancel()
		now, arrived := time.Now(), l.clock()
		known := vms.Record(decodeReport(req.Msg), now)
		interrupt := vms.Changed()
		position := decodePosition(req.Msg, now)
		if hasEntries := req.Msg.After > 0; hasEntries && (!known || vms.IsAhead(position)) {
			// The follower should repeat its report, or get the list, without a wait.
			cancel()
		}
		b, fresh := l.Since(ctx, mirror.Position{Era: req.Msg.Era, Revision: req.Msg.After}, interrupt)
		if b.Revision == 0 {
			return nil, connect.NewError(connect.CodeUnavailable, errNoEntries)
		}
		block, err := p.pack(req.Msg.After, b)
		if err != nil {
			return nil, err
		}
		list := vms.Changes(position, time.Now())
		answer := encode(b, block, fresh, !known, list)
		answer.SentAgeMS = encodeSentAge(b, arrived)
		return connect.NewResponse(answer), nil
	}, connect.WithCodec(codec{}), connect.WithCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessage))
}

// errNoEntries is the error for a follower of a VM that has no entries yet.
var errNoEntries = errors.New("relay: this VM has no entries yet")

// Client calls other VMs and reports this VM to them. It is safe for concurrent use.
type Client struct {
	http *http.Client
	vms  *presence.Table

	mu sync.Mutex
	// reported holds the digests of the reports that peers have, by address.
	reported map[string]uint64
}

// NewClient returns a client that sends the reports of the table and applies the lists of VMs to it.
func NewClient(vms *presence.Table) *Client {
	transport := &limit.Transport{MaxBody: maxMessage, Base: response.NewTransport(&http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: limit.MaxHeaderBytes,
	})}
	return &Client{vms: vms, reported: make(map[string]uint64), http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Peer is a VM that is followed in place of the store.
type Peer struct {
	client  *Client
	address string
	call    *connect.Client[wireFollow, wireBatch]
}

// NewPeer returns the peer at the IP address and port.
func NewPeer(c *Client, address string) *Peer {
	return &Peer{client: c, address: address, call: connect.NewClient[wireFollow, wireBatch](
		c.http, "http://"+address+procedure, connect.WithCodec(codec{}), connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessage),
	)}
}

// Snapshot returns all entries. A peer without entries is given some time to get them.
func (p *Peer) Snapshot(ctx context.Context) (mirror.Batch, error) {
	return p.follow(ctx, mirror.Position{}, snapshotWait)
}

// Watch returns the changes after the position, or all entries if changes may be missing.
func (p *Peer) Watch(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	return p.follow(ctx, after, wait)
}

func (p *Peer) follow(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	c := p.client
	now := time.Now()
	report := c.vms.Report(now)
	req := &wireFollow{After: after.Revision, Era: after.Era, WaitMS: wait.Milliseconds()}
	encodeReport(req, report, !c.hasReported(p.address, report.Digest))
	encodePosition(req, c.vms.Position(), now)
	resp, err := p.call.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return mirror.Batch{}, errors.Wrap(err, "relay")
	}
	c.setReported(p.address, report.Digest, !resp.Msg.Unknown)
	c.vms.Apply(decodeList(resp.Msg.List), time.Now())
	if !resp.Msg.Fresh {
		return mirror.Batch{}, errors.Wrapf(mirror.ErrStale, "relay: last contact %d ms ago", resp.Msg.AgeMS)
	}
	b, err := decode(resp.Msg, time.Now())
	if b.Era == 0 && !b.Whole {
		b.Era = after.Era
	}
	return b, err
}

func (c *Client) hasReported(address string, digest uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, exists := c.reported[address]
	return exists && known == digest
}

func (c *Client) setReported(address string, digest uint64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known {
		c.reported[address] = digest
	} else {
		delete(c.reported, address)
	}
}

package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/mirror"
)

const (
	// procedure is the path of the only call between VMs.
	procedure = "/fulmarhitch.relay.v1.Relay/Follow"
	// dialTimeout bounds the dial of a VM; within a failure domain it takes less than 1 ms.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes connections to VMs that are no longer followed.
	idleTimeout = 10 * time.Second
	// maxWait is the longest wait that a follower may request.
	maxWait = 10 * time.Second
)

// wireFollow is a request for the changes after a revision.
type wireFollow struct {
	After  uint64 `json:"after"`
	WaitMS int64  `json:"wait-ms"`
}

// wireBatch is the answer to a wireFollow.
type wireBatch struct {
	Entries  []wireEntry `json:"entries"`
	Whole    bool        `json:"whole"`
	Revision uint64      `json:"revision"`
	AgeMS    int64       `json:"age-ms"`
	Fresh    bool        `json:"fresh"`
}

type wireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Packed reports whether the value is compressed.
	Packed bool `json:"packed,omitempty"`
}

// codec is JSON for messages without a protobuf schema.
type codec struct{}

// Name returns the name of the content type.
func (codec) Name() string { return "json" }

// Marshal encodes a message.
func (codec) Marshal(m any) ([]byte, error) { return json.Marshal(m) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, m any) error { return json.Unmarshal(data, m) }

// Handler serves the log to followers.
func Handler(l *Log) http.Handler {
	p := &packer{}
	return connect.NewUnaryHandler(procedure, func(ctx context.Context, req *connect.Request[wireFollow]) (*connect.Response[wireBatch], error) {
		wait := min(time.Duration(req.Msg.WaitMS)*time.Millisecond, maxWait)
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		b, fresh := l.Since(ctx, req.Msg.After)
		return connect.NewResponse(encode(b, fresh, p)), nil
	}, connect.WithCodec(codec{}))
}

// Peer is a VM that is followed in place of the store.
type Peer struct {
	client *connect.Client[wireFollow, wireBatch]
}

// NewClient returns an HTTP client for the calls between VMs.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}}
}

// NewPeer returns the peer at the IP address and port.
func NewPeer(client *http.Client, address string) *Peer {
	return &Peer{client: connect.NewClient[wireFollow, wireBatch](client, "http://"+address+procedure, connect.WithCodec(codec{}))}
}

// Snapshot returns all entries.
func (p *Peer) Snapshot(ctx context.Context) (mirror.Batch, error) {
	return p.follow(ctx, 0, 0)
}

// Watch returns the changes after the revision, or all entries if changes may be missing.
func (p *Peer) Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Batch, error) {
	return p.follow(ctx, after, wait)
}

func (p *Peer) follow(ctx context.Context, after uint64, wait time.Duration) (mirror.Batch, error) {
	resp, err := p.client.CallUnary(ctx, connect.NewRequest(&wireFollow{After: after, WaitMS: wait.Milliseconds()}))
	if err != nil {
		return mirror.Batch{}, errors.Wrap(err, "relay")
	}
	if !resp.Msg.Fresh {
		return mirror.Batch{}, errors.Wrapf(mirror.ErrStale, "relay: last contact %d ms ago", resp.Msg.AgeMS)
	}
	return decode(resp.Msg)
}

func encode(b mirror.Batch, fresh bool, p *packer) *wireBatch {
	w := &wireBatch{Whole: b.Whole, Revision: b.Revision, AgeMS: b.Age.Milliseconds(), Fresh: fresh}
	for _, e := range b.Entries {
		value, packed := p.pack(e)
		w.Entries = append(w.Entries, wireEntry{Key: e.Key, Value: value, Revision: e.Revision, Deleted: e.Deleted, Packed: packed})
	}
	return w
}

func decode(w *wireBatch) (mirror.Batch, error) {
	b := mirror.Batch{Whole: w.Whole, Revision: w.Revision, Age: time.Duration(w.AgeMS) * time.Millisecond}
	for _, e := range w.Entries {
		value := e.Value
		if e.Packed {
			var err error
			if value, err = unpack(e.Value); err != nil {
				return mirror.Batch{}, err
			}
		}
		b.Entries = append(b.Entries, mirror.Entry{Key: e.Key, Value: value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return b, nil
}

package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/fulmarhitch/fulmarhitch/limit"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/peerpb/peerpbconnect"
)

// readTimeout bounds the time in which a message arrives.
const readTimeout = 30 * time.Second

// Hooks are the functions that serve the requests of peers, whose fields have been validated before.
type Hooks struct {
	Ping    func(context.Context, *peerpb.PingRequest) (*peerpb.PingResponse, error)
	Push    func(context.Context, *peerpb.PushRequest) (*peerpb.PushResponse, error)
	Compare func(context.Context, *peerpb.CompareRequest) (*peerpb.CompareResponse, error)
	Pull    func(context.Context, *peerpb.PullRequest) (*peerpb.PullResponse, error)
	Run     func(context.Context, *peerpb.RunRequest) (*peerpb.RunResponse, error)
}

// Mount adds the peer service to mux. Messages above maxMessage bytes and malformed ones are refused before they reach
// a hook. A call of a nil hook fails with the code "unimplemented".
func Mount(mux *http.ServeMux, h Hooks, maxMessage int) {
	path, service := peerpbconnect.NewPeerHandler(handler{h},
		connect.WithReadMaxBytes(maxMessage), connect.WithSendMaxBytes(maxMessage),
		connect.WithCompression("gzip", nil, nil))
	mux.Handle(path, limit.Handler(service, int64(maxMessage), readTimeout))
}

// Server returns a server for HTTP/2 without TLS that serves the handler, with bounds on headers and idle connections.
func Server(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		MaxHeaderBytes:    16 << 10,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       5 * time.Minute,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 4096, PingTimeout: 5 * time.Second, SendPingTimeout: 15 * time.Second},
	}
}

type handler struct {
	hooks Hooks
}

func (h handler) Ping(ctx context.Context, r *connect.Request[peerpb.PingRequest]) (*connect.Response[peerpb.PingResponse], error) {
	return serve(ctx, r, checkPing, h.hooks.Ping)
}

func (h handler) Push(ctx context.Context, r *connect.Request[peerpb.PushRequest]) (*connect.Response[peerpb.PushResponse], error) {
	return serve(ctx, r, checkPush, h.hooks.Push)
}

func (h handler) Compare(ctx context.Context, r *connect.Request[peerpb.CompareRequest]) (*connect.Response[peerpb.CompareResponse], error) {
	return serve(ctx, r, checkCompare, h.hooks.Compare)
}

func (h handler) Pull(ctx context.Context, r *connect.Request[peerpb.PullRequest]) (*connect.Response[peerpb.PullResponse], error) {
	return serve(ctx, r, checkPull, h.hooks.Pull)
}

func (h handler) Run(ctx context.Context, r *connect.Request[peerpb.RunRequest]) (*connect.Response[peerpb.RunResponse], error) {
	return serve(ctx, r, checkRun, h.hooks.Run)
}

func serve[Req, Res any](ctx context.Context, r *connect.Request[Req], check func(*Req) error,
	hook func(context.Context, *Req) (*Res, error),
) (*connect.Response[Res], error) {
	if hook == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	if err := check(r.Msg); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	a, err := hook(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(a), nil
}

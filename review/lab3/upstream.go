package lab3

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// Arrival is a request that reached an upstream and ran.
type Arrival struct {
	At       time.Time
	Upstream string
	ID, Path string
	// Via is the header X-Via, by which callers tell to which gateway they sent the request.
	Via string
}

// Upstream is a server that follows the pages.
type Upstream struct {
	ID, Service, Zone, Address string
	Slots                      int
	// ServiceTime is the time that a request takes.
	ServiceTime time.Duration
	// Handle is called for each request that begins to run. It returns false if the upstream crashes by it.
	Handle func(a Arrival) bool

	store *standin.Store

	mu      sync.Mutex
	born    time.Time
	state   string
	running int
	server  *http.Server
	conns   map[net.Conn]bool
	crashed bool
}

// NewUpstream returns an upstream that isn't started.
func NewUpstream(store *standin.Store, id, service, zone string, serviceTime time.Duration) (*Upstream, error) {
	address, err := FreeAddress()
	return &Upstream{ID: id, Service: service, Zone: zone, Address: address, Slots: 3, ServiceTime: serviceTime, store: store}, err
}

// Start starts the upstream, or starts it again after a crash, and registers it.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.born, u.state, u.running, u.crashed, u.conns = time.Now(), "ready", 0, false, make(map[net.Conn]bool)
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ConnState: u.note}
	server := u.server
	u.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	u.Register("ready")
	return nil
}

func (u *Upstream) note(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	default:
	}
}

// Register writes the upstream's entry with the state, and returns when the store has accepted it.
func (u *Upstream) Register(state string) {
	u.mu.Lock()
	u.state = state
	entry, _ := json.Marshal(map[string]any{
		"address": u.Address, "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.Service, "version": "v1", "zone": u.Zone, "slots": u.Slots},
		"status": map[string]any{"state": state, "seq": time.Now().UnixMilli(), Name("cold"): "0ms"},
	})
	u.mu.Unlock()
	u.store.Put(Name("entries")+u.ID, entry)
}

// Crash ends the upstream like the death of its process: the listener and all connections close.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.crashed {
		return
	}
	u.crashed = true
	_ = u.server.Close()
	for c := range u.conns {
		_ = c.Close()
	}
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	h := w.Header()
	h.Set(Name("load"), fmt.Sprintf("%d,0,%d,100", u.running, u.Slots))
	h.Set(Name("instance"), u.ID)
	isReady := u.state == "ready"
	if r.URL.Path == "/healthz" {
		u.mu.Unlock()
		if !isReady {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expect := r.Header.Get(Name("expect")); expect != "" && expect != u.ID {
		u.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.running++
	u.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	a := Arrival{At: time.Now(), Upstream: u.ID, ID: id, Path: r.URL.Path, Via: r.Header.Get("X-Via")}
	if u.Handle != nil && !u.Handle(a) {
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(u.ServiceTime)
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	h.Set(Name("stamp"), "s."+id)
	_, _ = io.WriteString(w, "answer of "+u.Service+" to "+id+" "+strings.Repeat(".", 100))
}

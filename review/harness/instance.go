package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// run is one request that an instance began to run.
type run struct {
	at           time.Time
	instance, id string
	// target is the request target as it arrived, and path and host are what a server takes from it and the Host header.
	target, path, host string
	crashed            bool
}

// instance is an instance that crashes as it begins to run certain requests, and then starts again. The project's stand-in behind
// it serves the other requests.
type instance struct {
	name, service, zone string
	// crashes reports whether the instance crashes as it begins to run the request; it may be nil.
	crashes func(r *http.Request) bool
	// newID gives each lifetime an identifier of its own.
	newID bool
	store *standin.Store
	log   *record

	mu       sync.Mutex
	upstream *standin.Upstream
	listener net.Listener
	conns    map[net.Conn]bool
	lifetime int
	runs     []run
}

const (
	// serviceTime is the time that an instance takes for a request.
	serviceTime = 94 * time.Millisecond
	// downtime is the time from a crash of an instance to its next start.
	downtime = 3 * time.Second
)

// begin begins a lifetime at the address, or at a free one if it is empty.
func (i *instance) begin(address string) error {
	l, err := listenFree()
	if address != "" {
		_ = l.Close()
		l, err = net.Listen("tcp", address)
	}
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lifetime++
	id := i.name
	if i.newID {
		id = fmt.Sprintf("%s-%d", i.name, i.lifetime)
	}
	u, err := standin.NewUpstream(id, i.service, i.zone)
	if err != nil {
		return err
	}
	u.SetBehaviour(standin.Normal, serviceTime)
	i.upstream, i.listener, i.conns = u, l, make(map[net.Conn]bool)
	i.store.Put(u.Key(), bornNow(u.EntryAt(l.Addr().String(), "ready")))
	i.log.printf("instance %s starts", id)
	go i.accept(l, u, i.lifetime)
	return nil
}

// bornNow sets the time of the start in an entry.
func bornNow(entry []byte) []byte {
	fields := make(map[string]any)
	if err := json.Unmarshal(entry, &fields); err != nil {
		panic(err)
	}
	fields["born"] = time.Now().UnixMilli()
	encoded, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return encoded
}

// crash ends the lifetime as the end of a process does: the port refuses connections, and the open ones are reset. The caller
// holds mu.
func (i *instance) crash() {
	address := i.listener.Addr().String()
	_ = i.listener.Close()
	for c := range i.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	i.upstream.Close()
	i.lifetime++
	key := i.upstream.Key()
	time.AfterFunc(downtime, func() {
		if i.newID {
			i.store.Delete(key)
			address = ""
		}
		if err := i.begin(address); err != nil {
			i.log.printf("instance %s could not start again: %v", i.name, err)
		}
	})
}

// accept serves the connections of a lifetime.
func (i *instance) accept(l net.Listener, u *standin.Upstream, lifetime int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns[c] = true
		i.mu.Unlock()
		go func() {
			i.serve(c, u, lifetime)
			_ = c.Close()
		}()
	}
}

// serve passes the requests of a connection to the stand-in, unchanged, and the answers back.
func (i *instance) serve(c net.Conn, u *standin.Upstream, lifetime int) {
	back, err := net.Dial("tcp", u.Address())
	if err != nil {
		return
	}
	defer func() { _ = back.Close() }()
	go func() {
		_, _ = io.Copy(c, back)
		_ = c.Close()
	}()
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c, &raw))
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !i.admit(r, u.ID, lifetime) {
			return
		}
		// A gateway sends one request at a time on a connection, so all bytes that were read belong to this one.
		if _, err := back.Write(raw.Bytes()); err != nil {
			return
		}
		raw.Reset()
	}
}

// admit records a request and reports whether the lifetime goes on.
func (i *instance) admit(r *http.Request, id string, lifetime int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if lifetime != i.lifetime {
		return false
	}
	request := r.Header.Get("X-Request-Id")
	if request == "" {
		// A status check has no identifier.
		return true
	}
	crashes := i.crashes != nil && i.crashes(r)
	i.runs = append(i.runs, run{time.Now(), id, request, r.RequestURI, r.URL.Path, r.Host, crashes})
	if crashes {
		i.log.printf("instance %s begins to run %s (%s %s) and crashes", id, request, r.Method, r.RequestURI)
		i.crash()
	}
	return !crashes
}

// runsOf returns the runs of the request with the identifier.
func (i *instance) runsOf(id string) []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []run
	for _, r := range i.runs {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

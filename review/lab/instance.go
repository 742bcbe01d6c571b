package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that an instance began to work on.
type Run struct {
	// ID and Target are the identifier and the target of the request.
	ID, Target string
	// Instance and Service are the instance and its service.
	Instance, Service string
	At                time.Time
}

// Instance is a sound instance of a service. It tells its load, rejects what is meant for another instance or exceeds its slots, and
// answers after the time of its work.
type Instance struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// Born is the time of its start in Unix ms.
	Born int64
	// OnRun is called for each request that begins to run.
	OnRun func(Run)

	listener net.Listener
	running  atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// StartInstance starts an instance at a free loopback address.
func StartInstance(i *Instance) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	i.listener, i.Born, i.conns = l, time.Now().UnixMilli(), make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			i.mu.Lock()
			i.conns[c] = true
			i.mu.Unlock()
			go i.serve(c)
		}
	}()
	return nil
}

// Close ends the instance.
func (i *Instance) Close() {
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		_ = c.Close()
	}
}

// Address returns the address of the instance.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// Key returns the key of its entry in the store.
func (i *Instance) Key() string { return "servers/" + i.ID }

// Entry returns its entry in the store.
func (i *Instance) Entry(state string, seq int) []byte {
	b, err := json.Marshal(map[string]any{
		"address": i.Address(), "born": i.Born,
		"info":   map[string]any{"service": i.Service, "version": "v1", "zone": i.Zone, "slots": i.Slots},
		"status": map[string]any{"state": state, "seq": seq, "coldRemaining": "0ms"},
	})
	if err != nil {
		panic(err)
	}
	return b
}

func (i *Instance) serve(c net.Conn) {
	defer func() {
		i.mu.Lock()
		delete(i.conns, c)
		i.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, i.answer(r)); err != nil {
			return
		}
	}
}

// answer runs the request, or rejects it, and returns the answer.
func (i *Instance) answer(r *http.Request) string {
	load := func() string { return fmt.Sprintf("X-Server-Load: %d,0,%d,100\r\n", i.running.Load(), i.Slots) }
	if r.URL.Path == "/healthz" {
		return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + i.ID + "\r\n" + load() + "Content-Length: 0\r\n\r\n"
	}
	id := r.Header.Get("X-Request-Id")
	echo := "X-Request-Id: " + id + "\r\n"
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != i.ID {
		return "HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Not-Executed: 1\r\nX-Instance-Id: " + i.ID + "\r\nContent-Length: 0\r\n\r\n"
	}
	if i.running.Add(1) > int64(i.Slots) {
		i.running.Add(-1)
		return "HTTP/1.1 503 Service Unavailable\r\n" + echo + "X-Not-Executed: 1\r\n" + load() + "Content-Length: 0\r\n\r\n"
	}
	i.OnRun(Run{ID: id, Target: r.RequestURI, Instance: i.ID, Service: i.Service, At: time.Now()})
	time.Sleep(i.Work)
	i.running.Add(-1)
	body := i.Service + " ran " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Stamp: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s", echo, i.ID, id, load(), len(body), body)
}

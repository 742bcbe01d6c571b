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
	"syscall"
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
	// Crashes reports whether the instance crashes as it begins to run the request; it may be nil. OnCrash is called after that.
	Crashes func(r *http.Request) bool
	OnCrash func()
	// IsDark reports whether a crash leaves the connections open and silent, and the port without an answer.
	IsDark bool

	listener *net.TCPListener
	running  atomic.Int64
	silent   atomic.Bool
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
	mu        sync.Mutex
	conns     map[net.Conn]bool
}

// StartInstance starts an instance at a free loopback address.
func StartInstance(i *Instance) error {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	i.listener, i.Born = l, time.Now().UnixMilli()
	i.conns, i.closed = make(map[net.Conn]bool), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if i.silent.Load() {
				// The queue of the kernel has to stay full.
				i.mu.Lock()
				i.conns[c] = true
				i.mu.Unlock()
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
	i.closeOnce.Do(func() { close(i.closed) })
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		_ = c.Close()
	}
}

// crash ends the instance. As at the end of its process, the port refuses connections, and the open ones are reset; or, if the machine
// falls silent, nothing is answered any more.
func (i *Instance) crash() {
	if i.IsDark {
		i.fallSilent()
		i.OnCrash()
		return
	}
	i.mu.Lock()
	for c := range i.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	i.mu.Unlock()
	i.Close()
	i.OnCrash()
}

// fallSilent makes the port and the connections silent until Close: none is accepted, read or closed any more.
func (i *Instance) fallSilent() {
	i.silent.Store(true)
	// An error would let connections be accepted by the kernel, without an answer on them.
	if raw, err := i.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	// The kernel drops attempts to connect once its queue is full.
	for range 3 {
		if c, err := net.DialTimeout("tcp", i.Address(), 10*time.Millisecond); err == nil {
			i.mu.Lock()
			i.conns[c] = true
			i.mu.Unlock()
		}
	}
}

// Address returns the address of the instance.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// Key returns the key of its entry in the store.
func (i *Instance) Key() string { return names["entries"] + i.ID }

// Entry returns its entry in the store.
func (i *Instance) Entry(state string, seq int) []byte {
	b, err := json.Marshal(map[string]any{
		"address": i.Address(), "born": i.Born,
		"info":   map[string]any{"service": i.Service, "version": "v1", "zone": i.Zone, "slots": i.Slots},
		"status": map[string]any{"state": state, "seq": seq, names["cold"]: "0ms"},
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
		var text string
		if !i.silent.Load() {
			text = i.answer(r)
		}
		if i.silent.Load() {
			<-i.closed
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// answer runs the request, or rejects it, and returns the answer.
func (i *Instance) answer(r *http.Request) string {
	load := func() string { return fmt.Sprintf("%s: %d,0,%d,100\r\n", names["load"], i.running.Load(), i.Slots) }
	if r.URL.Path == "/healthz" {
		return "HTTP/1.1 200 OK\r\n" + names["instance"] + ": " + i.ID + "\r\n" + load() + "Content-Length: 0\r\n\r\n"
	}
	id := r.Header.Get("X-Request-Id")
	echo := "X-Request-Id: " + id + "\r\n"
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != i.ID {
		return "HTTP/1.1 421 Misdirected Request\r\n" + echo + names["not-run"] + ": 1\r\n" + names["instance"] + ": " + i.ID + "\r\nContent-Length: 0\r\n\r\n"
	}
	if i.running.Add(1) > int64(i.Slots) {
		i.running.Add(-1)
		return "HTTP/1.1 503 Service Unavailable\r\n" + echo + names["not-run"] + ": 1\r\n" + load() + "Content-Length: 0\r\n\r\n"
	}
	i.OnRun(Run{ID: id, Target: r.RequestURI, Instance: i.ID, Service: i.Service, At: time.Now()})
	if i.Crashes != nil && i.Crashes(r) {
		i.crash()
		return ""
	}
	time.Sleep(i.Work)
	i.running.Add(-1)
	body := i.Service + " ran " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s", echo, names["stamp"], i.ID, id, load(), len(body), body)
}

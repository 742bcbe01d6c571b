package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Resolve asks a directory for addresses from the zone.
func Resolve(directory, zone string) (addresses []string, ttl time.Duration, err error) {
	client := http.Client{Timeout: time.Second}
	query := url.Values{"name": {Host}, "region": {"lab"}, "zone": {zone}}
	resp, err := client.Get("http://" + directory + names["resolve"] + "?" + query.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	ttl, err = time.ParseDuration(answer.TTL)
	return answer.Addresses, ttl, err
}

// Attempt is one attempt of a consumer.
type Attempt struct {
	ID, Method, Target, Address string
	Sent, Ended                 time.Time
	// Status is 0 without an answer, and Err tells why.
	Status int
	Body   string
	Err    error
}

// Consumer sends one request at a time on a connection that it keeps.
type Consumer struct {
	// Name begins the identifiers of its requests.
	Name string
	// Directories are asked in turn for addresses.
	Directories []string
	Zone        string
	// Headers are further header lines of each request, each with its end.
	Headers string

	count     int
	addresses []string
	expires   time.Time
	conn      net.Conn
	in        *bufio.Reader
	address   string
}

// Close closes the connection.
func (c *Consumer) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// refresh asks for addresses if the last answer has expired.
func (c *Consumer) refresh() {
	if time.Now().Before(c.expires) {
		return
	}
	for _, d := range c.Directories {
		addresses, ttl, err := Resolve(d, c.Zone)
		if err == nil && len(addresses) > 0 {
			c.addresses, c.expires = addresses, time.Now().Add(ttl)
			break
		}
	}
	if c.conn != nil && !slices.Contains(c.addresses, c.address) {
		c.Close()
	}
}

// Call sends a request with the deadline and returns the attempt.
func (c *Consumer) Call(method, target string, deadline time.Duration) Attempt {
	c.refresh()
	c.count++
	a := Attempt{ID: fmt.Sprintf("%s-%d", c.Name, c.count), Method: method, Target: target, Sent: time.Now()}
	a.Status, a.Body, a.Err = c.call(&a, deadline)
	a.Ended = time.Now()
	if a.Err != nil {
		c.Close()
	}
	return a
}

func (c *Consumer) call(a *Attempt, deadline time.Duration) (int, string, error) {
	if len(c.addresses) == 0 {
		return 0, "", fmt.Errorf("no address is known")
	}
	if c.conn == nil {
		c.address = c.addresses[c.count%len(c.addresses)]
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return 0, "", err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	a.Address = c.address
	if err := c.conn.SetDeadline(a.Sent.Add(deadline)); err != nil {
		return 0, "", err
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\n%s", a.Method, a.Target, Host, a.ID, names["deadline"], deadline.Milliseconds(), c.Headers)
	if a.Method != http.MethodGet {
		text += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: a.Method})
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	if resp.Close {
		c.Close()
	}
	return resp.StatusCode, strings.TrimSpace(string(body)), nil
}

package vmlist

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/limit"
	"github.com/fulmarhitch/fulmarhitch/response"
)

const (
	// callTimeout is the time limit of a call.
	callTimeout = time.Second
	// maxResponseBytes has room for several thousand VMs at about 200 bytes each.
	maxResponseBytes = 4 << 20
)

// Client reads the VM list at one address. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// Role is the kind of process that a VM runs.
type Role string

// State is whether a VM is live or leaving.
type State string

// Roles and states of a VM.
const (
	Entry    Role  = "entry"
	Upstream Role  = "upstream"
	Live     State = "live"
	Leaving  State = "leaving"
)

// VM is one VM of the list.
type VM struct {
	Name string
	// Address and PeerAddress are IP addresses with ports; PeerAddress is empty unless the VM is an entry VM.
	Address, PeerAddress string
	FailureDomain        string
	Role                 Role
	State                State
}

// New returns a client of the VM list at the IP address and port.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{
		Transport: response.NewTransport(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: callTimeout}).DialContext,
			DisableCompression:     true,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: limit.MaxHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// List returns all VMs of the list. An invalid list is rejected as a whole with all its findings.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/vms", nil)
	if err != nil {
		return nil, errors.Wrap(err, "vmlist")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "vmlist")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("vmlist: status %d", resp.StatusCode)
	}
	vms, err := readList(resp.Body)
	return vms, errors.Wrap(err, "vmlist")
}

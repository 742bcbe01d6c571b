package ingress

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/detour"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// untried returns the error response to a request that was not sent to any upstream.
func untried(text string, retryAfter time.Duration) *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, text: text, retryAfter: retryAfter, isUntried: true}
}

// tellVM tells the VM that passed the request on what became of it, by the headers of an answer that no upstream gave.
func tellVM(h http.Header, resp errorResponse) {
	if resp.isUntried {
		h.Set(header.Detour, "refused")
	}
	if resp.outcome != "" {
		h.Set(header.Outcome, resp.outcome)
		h.Set(header.Reason, resp.text)
	}
}

// checkPassed reports whether another VM has passed the request on. It returns an error response if the request is meant for a VM
// that had this address before, or if this VM's rules are older than those by which the request was accepted.
func (s *Server) checkPassed(r *http.Request, set *ruleset.Set) (isPassed bool, resp *errorResponse) {
	vm := r.Header.Get(header.Detour)
	if vm == "" {
		return false, nil
	}
	if !s.isFromVM(r, set) {
		resp := untried("unknown-vm: passed on, but not by a VM of the list", retryAfterRefusal)
		resp.reason = unknownVM
		return true, resp
	}
	if _, hasName := r.Header[header.Organisation]; hasName {
		vm = strings.TrimSuffix(vm, header.OfOrganisation)
	}
	if vm != s.config.VM {
		return true, untried("passed on to another VM", retryAfterRefusal)
	}
	version, err := strconv.ParseUint(r.Header.Get(header.RulesVersion), 10, 64)
	if err != nil {
		return true, &errorResponse{status: http.StatusBadRequest, text: "header " + header.RulesVersion + " is no version"}
	}
	if set.Version < version {
		return true, untried("not-ready: the rules are older than those of the VM that passed the request on", retryAfterRefusal)
	}
	return true, nil
}

// setUpstream names the upstream that answered, if any, to the VM that passed the request on.
func setUpstream(h http.Header, all []forwarder.Attempt) {
	for _, a := range all {
		if a.Class == exchange.Answered {
			h[header.Upstream] = []string{detour.FormatUpstream(a.Upstream)}
		}
	}
}

// callerOf returns the IP address of the caller: the peer of the connection, or the caller that the VM states which passed the request
// on. A VM of an earlier release states none.
func callerOf(r *http.Request, isPassed bool) string {
	if isPassed {
		return r.Header.Get(header.Caller)
	}
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return ""
	}
	return address.Addr().Unmap().String()
}

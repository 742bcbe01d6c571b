package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
)

// Range returns a check that a value lies between min and max, inclusive.
func Range[T cmp.Ordered](min, max T) func(T) string {
	return func(v T) string {
		// The negated condition also rejects NaN.
		if !(v >= min && v <= max) {
			return fmt.Sprintf("%v is out of range, %v to %v expected", v, min, max)
		}
		return ""
	}
}

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// MaxName is the maximum length of a name in bytes.
const MaxName = 63

// Name checks that s is in kebab case with at most MaxName bytes. It returns a description of the problem, or "".
func Name(s string) string {
	if len(s) > MaxName || !kebabCase.MatchString(s) {
		return fmt.Sprintf("%.80q is no name; lower-case letters, digits and single hyphens expected, at most %d", s, MaxName)
	}
	return ""
}

// Address checks that s is an IP address and a port from 1 to 65535, in canonical form. It returns a description of the
// problem, or "".
func Address(s string) string {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return fmt.Sprintf("%.80q is no address; an IP address and port expected, such as 127.0.0.1:8080", s)
	}
	if a.String() != s {
		return fmt.Sprintf("%.80q is not in canonical form; %s expected", s, a)
	}
	return ""
}

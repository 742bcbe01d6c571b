package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
)

// Range returns a check that a value is within min and max, inclusive.
func Range[T cmp.Ordered](min, max T) func(T) string {
	return func(v T) string {
		// The negated form also refuses a NaN.
		if !(v >= min && v <= max) {
			return fmt.Sprintf("%v is out of range, %v to %v expected", v, min, max)
		}
		return ""
	}
}

var kebab = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// MaxName is the length of the longest name in bytes.
const MaxName = 63

// Name checks that a name is in kebab case with at most MaxName bytes.
func Name(s string) string {
	if len(s) > MaxName || !kebab.MatchString(s) {
		return fmt.Sprintf("%.80q is no name; lower-case letters, digits and single hyphens expected, at most %d", s, MaxName)
	}
	return ""
}

// Address checks that an address is an IP address and a port from 1 to 65535.
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

package key

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Lifetime is the time from the creation of a key by a caller to its expiry.
const Lifetime = 60 * time.Second

// Key identifies one non-idempotent request; keys are comparable.
type Key struct {
	// Incarnation identifies the process of the entry VM that may start the request.
	Incarnation uint64
	// Expiry is the time at which the key expires, in ms of Unix time.
	Expiry int64
	// Random distinguishes the keys of one incarnation.
	Random [16]byte
}

// New returns a key with fresh random bits; the expiry is truncated to ms.
func New(incarnation uint64, expiry time.Time) Key {
	k := Key{Incarnation: incarnation, Expiry: expiry.UnixMilli()}
	// Read never returns an error; it ends the process if the system provides no random bits.
	_, _ = rand.Read(k.Random[:])
	return k
}

// maxExpiryDigits is the maximum number of decimal digits of the expiry, which then fits into an int64 of ms and into
// a time.Time.
const maxExpiryDigits = 15

// Parse parses the text form. It accepts only texts that String returns, so that each key has exactly one text.
func Parse(text string) (Key, error) {
	var k Key
	parts := strings.SplitN(text, ".", 4)
	if len(parts) != 3 {
		return k, errors.Newf("key: 3 parts separated by dots expected, found %d", len(parts))
	}
	incarnation, err := ParseIncarnation(parts[0])
	if err != nil {
		return k, err
	}
	expiry, err := strconv.ParseUint(parts[1], 10, 63)
	if err != nil || len(parts[1]) > maxExpiryDigits || (parts[1][0] == '0' && parts[1] != "0") {
		return k, errors.Newf("key: the expiry must be 1 to %d decimal digits without leading zeros", maxExpiryDigits)
	}
	if !isLowerHex(parts[2], 32) {
		return k, errors.New("key: the random part must be 32 lower-case hex digits")
	}
	k.Incarnation, k.Expiry = incarnation, int64(expiry)
	_, err = hex.Decode(k.Random[:], []byte(parts[2]))
	return k, err
}

// ParseIncarnation parses the text form of an incarnation, 16 lower-case hex digits.
func ParseIncarnation(text string) (uint64, error) {
	if !isLowerHex(text, 16) {
		return 0, errors.New("key: the incarnation must be 16 lower-case hex digits")
	}
	return strconv.ParseUint(text, 16, 64)
}

// FormatIncarnation returns the text form of an incarnation.
func FormatIncarnation(incarnation uint64) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], incarnation)
	return hex.EncodeToString(b[:])
}

func isLowerHex(s string, digits int) bool {
	return len(s) == digits && strings.Trim(s, "0123456789abcdef") == ""
}

// String returns the text form of the key.
func (k Key) String() string {
	b := make([]byte, 0, 16+1+maxExpiryDigits+1+32)
	b = append(b, FormatIncarnation(k.Incarnation)...)
	b = append(b, '.')
	b = strconv.AppendInt(b, k.Expiry, 10)
	b = append(b, '.')
	b = hex.AppendEncode(b, k.Random[:])
	return string(b)
}

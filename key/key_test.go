package key_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/key"
)

const text = "00000000000000ff.1700000000000.000102030405060708090a0b0c0d0e0f"

// TestParse guards against two texts for one key, which would let a repeat start a second request.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"valid":            {text, true},
		"empty":            {"", false},
		"upper case":       {strings.Replace(text, "ff", "FF", 1), false},
		"short":            {text[1:], false},
		"leading zero":     {strings.Replace(text, ".17", ".017", 1), false},
		"sign":             {strings.Replace(text, ".17", ".+17", 1), false},
		"no expiry":        {strings.Replace(text, "1700000000000", "", 1), false},
		"underscore":       {strings.Replace(text, "17000", "17_000", 1), false},
		"expiry too large": {strings.Replace(text, "1700000000000", "1234567890123456", 1), false},
		"fourth part":      {text + ".", false},
		"space":            {text + " ", false},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			k, err := key.Parse(c.text)
			So(err == nil, ShouldEqual, c.ok)
			if c.ok {
				So(k.String(), ShouldEqual, c.text)
				So(k.Incarnation, ShouldEqual, 255)
			}
		})
	}
	Convey("two new keys differ", t, func() {
		now := time.UnixMilli(1700000000000)
		So(key.New(1, now), ShouldNotEqual, key.New(1, now))
	})
}

// FuzzParse guards against an accepted text that differs from the text form of the parsed key.
func FuzzParse(f *testing.F) {
	f.Add(text)
	f.Add("0.0.0")
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := key.Parse(text); err == nil && k.String() != text {
			t.Fatalf("%q parsed as %q", text, k)
		}
	})
}

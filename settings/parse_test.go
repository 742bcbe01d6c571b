package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/finding"
	"github.com/fulmarhitch/fulmarhitch/settings"
)

func exampleFile(t testing.TB) string {
	text, err := os.ReadFile("../examples/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestParse guards against settings that are accepted although a process can't run with them.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     string
	}{
		"example":      {"", "", ""},
		"default":      {`stop-timeout = "90s"`, "", ""},
		"host name":    {`store-address = "127.0.0.1:7100"`, `store-address = "store:7100"`, `setting "store-address": "store:7100" is no address`},
		"no port":      {`"127.0.0.2:7001"`, `"127.0.0.2"`, `setting "peers": entry 1: "127.0.0.2" is no address`},
		"same address": {"127.0.0.1:7001", "127.0.0.1:7000", `setting "peer-address": 127.0.0.1:7000 is also`},
		"duration":     {`"90s"`, "90", `setting "stop-timeout": a duration such as "250ms" expected`},
		"log level":    {`"info"`, `"loud"`, `setting "log-level": one of debug`},
		"unknown":      {"log-level", "loglevel", `setting "loglevel": unknown`},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			s, err := settings.Parse("entry.toml", []byte(strings.Replace(exampleFile(t), c.old, c.new, 1)))
			if c.want == "" {
				So(err, ShouldBeNil)
				So(s.StopTimeout, ShouldEqual, 90*time.Second)
				return
			}
			So(s, ShouldBeNil)
			So(len(finding.Of(err)), ShouldEqual, 1)
			So(finding.Of(err)[0].Message, ShouldContainSubstring, c.want)
		})
	}
}

// FuzzParse guards against panics and against accepted settings without an address.
func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleFile(f)))
	f.Add([]byte("peers = [1, {}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := settings.Parse("f", text); err == nil && s.Address == "" {
			t.Fatal("no address")
		}
	})
}

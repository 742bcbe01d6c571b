package declaration_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/finding"
)

const validFile = `max-entry-vms = 2
tenants = ["t"]
[[failure-domain]]
name = "d"
region = "r"
[[service]]
name = "s"
tenant = "t"
connections = 4
[[service.kind]]
name = "k"
idempotent = true
timeout = "1s"
[[service.upstream]]
name = "u"
address = "127.0.0.1:1"
failure-domain = "d"
slots = 3
`

// TestParseFindings guards against errors in a file that are accepted, reported without their position, or hidden by
// another error in the same file.
func TestParseFindings(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     []string
	}{
		"none":                  {"", "", nil},
		"syntax":                {"slots = 3", "slots = = 3", []string{`f.toml:18:9: syntax error`}},
		"unknown setting":       {"slots = 3", "slots = 3\nslot = 3", []string{`f.toml:19:1: setting "slot": unknown`}},
		"missing setting":       {"slots = 3\n", "", []string{`f.toml:14:1: setting "slots" is missing`}},
		"wrong type":            {"slots = 3", `slots = "3"`, []string{`f.toml:18:1: setting "slots": an integer expected`}},
		"out of range":          {"slots = 3", "slots = 0", []string{`f.toml:18:1: setting "slots": 0 is out of range`}},
		"duplicate setting":     {"slots = 3", "slots = 3\nslots = 4", []string{`f.toml:19:1: syntax error: The following key was defined twice: service.upstream.slots`}},
		"duplicate domain":      {"[[service]]", "[[failure-domain]]\nname='d'\nregion='r'\n[[service]]", []string{`f.toml:7:1: setting "name": another failure domain`}},
		"unknown domain":        {`failure-domain = "d"`, `failure-domain = "e"`, []string{`f.toml:17:1: setting "failure-domain": no failure-domain of the file`}},
		"unknown tenant":        {`tenant = "t"`, `tenant = "x"`, []string{`f.toml:8:1: setting "tenant": no tenant`}},
		"host name":             {"127.0.0.1:1", "localhost:1", []string{`f.toml:16:1: setting "address": "localhost:1" is no address`}},
		"address twice":         {"slots = 3\n", "slots = 3\n[[service.upstream]]\nname='v'\naddress='127.0.0.1:1'\nfailure-domain='d'\nslots=1\n", []string{`f.toml:21:1: setting "address": another address`}},
		"no upstream":           {validFile[strings.Index(validFile, "[[service.upstream]]"):], "", []string{`f.toml:6:1: at least one table [[upstream]]`}},
		"table, not an array":   {"[[service.kind]]", "[service.kind]", []string{`setting "kind": an array of tables`}},
		"too few connections":   {"connections = 4", "connections = 1", []string{`f.toml:9:1: setting "connections": 1 connections can't be shared`}},
		"not a number":          {"connections = 4", "connections = 4\nlong-share = nan", []string{`f.toml:10:1: setting "long-share": NaN is out of range`}},
		"deep nesting":          {`tenants = ["t"]`, "tenants = " + strings.Repeat("[", 1<<19), []string{"f.toml:2:27: syntax error: more than 16 nested"}},
		"brackets in a comment": {`tenants = ["t"]`, "tenants = [\"t\"] # " + strings.Repeat("[", 99), nil},
		"too large":             {"", strings.Repeat("#", 1<<20+1), []string{"f.toml:1:1: syntax error: the file has"}},
		"two findings":          {"idempotent = true\ntimeout = \"1s\"", "timeout = \"2m\"", []string{`f.toml:10:1: setting "idempotent" is missing`, `f.toml:12:1: setting "timeout": 2m0s is out of range`}},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			text := strings.Replace(validFile, c.old, c.new, 1)
			d, err := declaration.Parse("f.toml", []byte(text))
			found := finding.Of(err)
			So(len(found), ShouldEqual, len(c.want))
			So(d == nil, ShouldEqual, len(c.want) > 0)
			for i, w := range c.want {
				So(found[i].String(), ShouldContainSubstring, w)
			}
		})
	}
}

// TestParseExamples guards against examples that are invalid or differ in size from the deployments they describe.
func TestParseExamples(t *testing.T) {
	cases := map[string]struct{ domains, upstreams, slots, connections int }{
		"division": {3, 34, 3, 220},
		"talgljus": {4, 46, 6, 260},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			text, err := os.ReadFile("../examples/" + name + ".toml")
			So(err, ShouldBeNil)
			d, err := declaration.Parse(name, text)
			So(err, ShouldBeNil)
			So(len(d.FailureDomains), ShouldEqual, c.domains)
			n := 0
			for _, s := range d.Services {
				So(s.Connections, ShouldEqual, c.connections)
				for _, u := range s.Upstreams {
					So(u.Slots, ShouldEqual, c.slots)
					n++
				}
			}
			So(n, ShouldEqual, c.upstreams)
		})
	}
}

// FuzzParse guards against panics, stack overflows and accepted files with broken references.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("a = [[1], [2]]\nservice = [{}]\n"))
	f.Add([]byte("a = " + strings.Repeat("[", 1<<10)))
	f.Add([]byte("[[service]]\n[[service.kind]]\n[service.kind.x]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := declaration.Parse("f.toml", text)
		if (d == nil) != (len(finding.Of(err)) > 0) {
			t.Fatalf("declaration %v with error %v", d, err)
		}
	})
}

package ruleset_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// TestFind guards against choosing a rule of another host, or a shorter prefix over a longer one.
func TestFind(t *testing.T) {
	set := ruleset.New(3, []*ruleset.Rule{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}, nil, ruleset.Limits{})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":           {"a.example", "/x/y/1", "long"},
		"shorter prefix":           {"a.example", "/x/z", "short"},
		"host with a port":         {"a.example:8080", "/x/z", "short"},
		"unknown host":             {"c.example", "/x/z", ""},
		"prefix within a segment":  {"a.example", "/xy/z", ""},
		"other host's rule":        {"b.example", "/x/1", ""},
		"prefix without its slash": {"a.example", "/x", ""},
	}
	for name, test := range tests {
		Convey("Given the case "+name, t, func() {
			got := ""
			if r := set.Find(test.host, test.path); r != nil {
				got = r.Name
			}
			So(got, ShouldEqual, test.want)
		})
	}
}

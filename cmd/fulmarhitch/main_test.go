package main

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestExecute guards against exit statuses that give an operator the wrong state of a file or a call.
func TestExecute(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	closedAddress := l.Addr().String()
	_ = l.Close()
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("max-entry-vms = 0\nfoo = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	listener, settingsFile := settingsWithUsedAddress(t)
	defer func() { _ = listener.Close() }()
	good := "../../examples/division.toml"
	submit := []string{"submit", good, "--base", "4", "--id", "a", "--entry"}
	cases := map[string]struct {
		args   []string
		status int
		want   int
		output string
	}{
		"check":                {[]string{"check", good}, 0, 0, ""},
		"check findings":       {[]string{"check", bad}, 0, 1, "bad.toml:2:1: setting \"foo\": unknown"},
		"check missing file":   {[]string{"check", "none.toml"}, 0, 1, "none.toml"},
		"run, address in use":  {[]string{"run", "--settings", settingsFile}, 0, 2, "entry: listen for callers"},
		"run with findings":    {[]string{"run", "--settings", bad}, 0, 1, "findings"},
		"in force":             {submit, 200, 0, "POST /v1/configuration?base=4&submission=a"},
		"base conflict":        {submit, 409, 1, "another file"},
		"findings":             {submit, 422, 1, "findings"},
		"unknown":              {submit, 502, 2, "may come into force"},
		"store unavailable":    {submit, 503, 2, "not accepted"},
		"redirect":             {submit, 302, 2, "unexpected"},
		"entry VM unreachable": {append(submit[:len(submit):len(submit)], closedAddress), 0, 2, closedAddress},
		"show":                 {[]string{"show", "--entry"}, 200, 0, "GET /v1/configuration"},
		"status":               {[]string{"status", "--entry"}, 200, 0, "GET /v1/status"},
		"call not run":         {[]string{"call", "s", "k", "--entry"}, 503, 1, "not run"},
		"call unavailable":     {[]string{"call", "s", "k", "--repeat-key", "0000000000000001.1.000102030405060708090a0b0c0d0e0f", "--entry"}, 503, 2, "unknown"},
		"no such command":      {[]string{"halt"}, 0, 80, "unexpected argument"},
		"help":                 {[]string{"--help"}, 0, 0, "Usage"},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(r.Method + " " + r.URL.String()))
			}))
			defer s.Close()
			args := c.args
			if args[len(args)-1] == "--entry" {
				args = append(args[:len(args):len(args)], s.Listener.Addr().String())
			}
			var b bytes.Buffer
			So(execute(args, output{&b, &b}), ShouldEqual, c.want)
			So(strings.Contains(b.String(), c.output), ShouldBeTrue)
		})
	}
}

// settingsWithUsedAddress returns a listener and a settings file with its address, so that "run" fails at once.
func settingsWithUsedAddress(t *testing.T) (net.Listener, string) {
	text, err := os.ReadFile("../../examples/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "entry.toml")
	text = bytes.Replace(text, []byte(`"127.0.0.1:7000"`), []byte(`"`+l.Addr().String()+`"`), 1)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return l, file
}

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/caller"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

type callCommand struct {
	Service string `arg:"" help:"Service."`
	Kind    string `arg:"" help:"Kind of the request."`

	Entry      []string      `help:"Address of an entry VM; may be repeated." required:""`
	Body       string        `help:"Body of the request."`
	Path       string        `help:"Path of the request, without a leading slash."`
	Idempotent bool          `help:"The kind is idempotent; the request is then a GET without a key."`
	RepeatKey  string        `help:"Key of an earlier call with an unknown outcome."`
	Timeout    time.Duration `help:"Deadline." default:"5s"`
	Token      string        `help:"Token of the caller." env:"FULMARHITCH_TOKEN"`
}

// Run sends the call and prints the body of the answer to stdout; the key and the status go to stderr.
func (c *callCommand) Run(out output) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	client := caller.New(caller.Config{Entries: c.Entry, Token: c.Token})
	defer client.Close()
	call := caller.Call{
		Service: c.Service, Kind: c.Kind, Path: c.Path, Body: []byte(c.Body), Idempotent: c.Idempotent,
		Key: c.RepeatKey, Repeat: c.RepeatKey != "",
	}
	if !c.Idempotent && call.Key == "" {
		k, err := client.NewKey(ctx, c.Service)
		if err != nil {
			return withStatus(statusRefused, errors.Wrap(err, "not run"))
		}
		call.Key = k.String()
		_, _ = fmt.Fprintf(out.stderr, "key %s\n", call.Key)
	}
	switch o := client.Call(ctx, call).(type) {
	case outcome.Answered:
		_, _ = fmt.Fprintf(out.stderr, "answered with status %d\n", o.Status)
		_, err := out.stdout.Write(o.Body)
		return err
	case outcome.NotRun:
		return withStatus(statusRefused, errors.Newf("not run: %s: %s", o.Reason, o.Detail))
	case outcome.Unknown:
		return withStatus(statusUnavailable, errors.Newf("unknown: %s: %s", o.Reason, o.Detail))
	}
	return withStatus(statusUnavailable, errors.New("call: no outcome"))
}

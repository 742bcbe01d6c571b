package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/standin/platform"
)

type flags struct {
	Address   string        `default:"127.0.0.1:0" help:"IP address and port to listen on; port 0 lets the system choose."`
	VMListLag time.Duration `name:"vm-list-lag" default:"0s" help:"Age of the VM list that callers see."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("In-memory stand-in for the platform's key-value store and VM list."))
	logrus.SetFormatter(&logrus.JSONFormatter{})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, f); err != nil {
		logrus.WithError(err).Error("platform stand-in failed")
		os.Exit(1)
	}
}

func run(ctx context.Context, f flags) error {
	listener, err := net.Listen("tcp", f.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p := platform.New()
	p.SetFaults(platform.Faults{VMListLag: f.VMListLag})
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	logrus.WithField("address", listener.Addr().String()).Info("platform stand-in is listening")
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		// A watch may wait for a minute, so the connections are closed without draining.
		return errors.Wrap(server.Close(), "close")
	}
}

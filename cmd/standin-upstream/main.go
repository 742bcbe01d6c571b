package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/standin/server"
)

// crashStatus distinguishes a crash request from a failed start, which exits with status 1.
const crashStatus = 3

type arguments struct {
	Address        string        `default:"127.0.0.1:0" help:"IP address and port to listen on; port 0 lets the system choose."`
	Slots          int           `default:"3" help:"Requests that run at once."`
	Waiting        int           `default:"3" help:"Requests that may wait for a slot."`
	Mean           time.Duration `default:"8ms" help:"Mean service time."`
	Stragglers     bool          `help:"Make 2 % of the requests run 50 times longer."`
	Seed           uint64        `default:"1" help:"Seed of the service times."`
	Cold           int           `help:"First requests that run slower."`
	ColdFactor     float64       `default:"5" help:"Slowdown of cold requests."`
	ConnectionCost time.Duration `default:"1ms" help:"Cost of a new connection."`
	ProbeCost      time.Duration `default:"6ms" help:"Slot time of a health probe."`
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("standin-upstream"), kong.Description("A stand-in for one upstream instance."))
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	s, err := server.New(server.Settings{
		Address: a.Address, Slots: a.Slots, QueueLimit: a.Waiting, Mean: a.Mean, Stragglers: a.Stragglers, Seed: a.Seed,
		Cold: a.Cold, ColdFactor: a.ColdFactor, ConnectionCost: a.ConnectionCost, ProbeCost: a.ProbeCost,
		Crash: func() { os.Exit(crashStatus) },
	})
	if err != nil {
		log.WithError(err).Error("upstream stand-in could not listen")
		os.Exit(1)
	}
	log.WithField("address", s.Address()).Info("upstream stand-in is listening")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	_ = s.Close()
}

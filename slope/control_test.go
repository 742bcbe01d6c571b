package slope

import (
	"context"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/addressing"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/gossip"
	"github.com/fulmarhitch/fulmarhitch/group"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/plan"
)

// BenchmarkParse measures parsing and checking an operators' file.
func BenchmarkParse(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		text := s.text()
		b.ReportAllocs()
		for b.Loop() {
			if _, err := declaration.Parse("slope", text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkEnvelope measures the encoding of the stored value and reports its size.
func BenchmarkEnvelope(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		text := s.text()
		e := envelope.Envelope{}.Next("slope", text)
		var data []byte
		for b.Loop() {
			var err error
			if data, err = envelope.Encode(e); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "text-bytes")
		b.ReportMetric(float64(len(data)), "stored-bytes")
	})
}

// BenchmarkPlan measures the computation of the routes, which takes place at each change of the configuration or of the
// members.
func BenchmarkPlan(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		d, live := s.declaration(b), s.members()
		b.ReportAllocs()
		for b.Loop() {
			plan.New(d, live, live[0])
		}
	})
}

// BenchmarkAnswer measures one answer to a caller that requests addresses.
func BenchmarkAnswer(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		d, live := s.declaration(b), s.members()
		b.ReportAllocs()
		for b.Loop() {
			_, err := addressing.Select(d, "service-001", live, addressing.Caller{FailureDomain: "fd-1", Token: rand.Uint64()}, time.Now())
			if err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkApply measures applying a configuration to the dispatchers, and reports the number of groups whose home is the
// VM.
func BenchmarkApply(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		d, live := s.declaration(b), s.members()
		p := plan.New(d, live, live[0])
		r := group.New(1)
		defer func() { _ = r.Stop(context.Background()) }()
		b.ReportAllocs()
		for b.Loop() {
			r.Apply(p, time.Now())
		}
		b.ReportMetric(float64(len(r.Loads())), "homes")
		b.ReportMetric(float64(len(p.Groups())), "groups")
	})
}

// BenchmarkTargets measures the selection of the upstreams to probe, which the prober makes twice a second.
func BenchmarkTargets(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		d, live := s.declaration(b), s.members()
		p := plan.New(d, live, live[0])
		r := group.New(1)
		defer func() { _ = r.Stop(context.Background()) }()
		r.Apply(p, time.Now())
		targets := 0
		for b.Loop() {
			targets = 0
			for _, g := range p.Groups() {
				for _, u := range g.Upstreams {
					if r.ProbeWanted(g, u, time.Now()) {
						targets++
					}
				}
			}
		}
		b.ReportMetric(float64(targets), "targets")
	})
}

// BenchmarkLive measures listing the live members, which the planner does 10 times a second.
func BenchmarkLive(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		live := s.members()
		g := gossip.New(live[0], nil, gossip.DefaultOptions(), logrus.New())
		var listed []member.Listed
		for _, m := range live[1:] {
			listed = append(listed, member.Listed{Name: m.Name, Address: m.Address, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain})
		}
		g.ApplyList(listed)
		b.ReportAllocs()
		for b.Loop() {
			g.Live()
			g.Members()
		}
	})
}

// BenchmarkMemory reports the live memory of a configuration in force: the declaration, the routes, the dispatchers of
// the groups whose home is one VM, and the mean of a group's dispatcher on a VM that is home of all groups.
func BenchmarkMemory(b *testing.B) {
	runSizes(b, func(b *testing.B, s size) {
		live := s.members()
		for b.Loop() {
			text := s.text()
			start := liveMemory()
			d, err := declaration.Parse("slope", text)
			if err != nil {
				b.Fatal(err)
			}
			parsed := liveMemory()
			p := plan.New(d, live, live[0])
			planned := liveMemory()
			r := group.New(1)
			r.Apply(p, time.Now())
			time.Sleep(50 * time.Millisecond)
			applied := liveMemory()
			for _, g := range p.Groups() {
				r.Get(g)
			}
			time.Sleep(50 * time.Millisecond)
			all := liveMemory()
			b.ReportMetric(parsed-start, "declaration-bytes")
			b.ReportMetric(planned-parsed, "plan-bytes")
			b.ReportMetric(applied-planned, "homes-bytes")
			b.ReportMetric((all-planned)/float64(len(p.Groups())), "bytes/group")
			_ = r.Stop(context.Background())
			runtime.KeepAlive(text)
		}
	})
}

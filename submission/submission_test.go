package submission_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/standin/platform"
	"github.com/fulmarhitch/fulmarhitch/store"
	"github.com/fulmarhitch/fulmarhitch/submission"
)

func parse(_ string, text []byte) (*declaration.Declaration, error) {
	if string(text) == "bad" {
		return nil, errors.New("bad text")
	}
	return &declaration.Declaration{}, nil
}

func newAcceptor(p *platform.Platform, announced uint64) *submission.Acceptor {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return submission.New(store.NewWithTransport("store", p.Transport()), generation.New(parse), parse,
		func() uint64 { return announced }, log)
}

// submitFiles submits n files to an empty platform, so that the store holds generation n.
func submitFiles(p *platform.Platform, n uint64) {
	for g := range n {
		text := fmt.Appendf(nil, "text %d", g+1)
		So(newAcceptor(p, 0).Submit(context.Background(), text, g, fmt.Sprint("s", g+1)), ShouldResemble,
			submission.Accepted{Generation: g + 1})
	}
}

// TestFaults guards against a submission whose result differs from what the store holds once all faults have passed.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		first, second platform.Faults // second replaces first after the duration after
		after         time.Duration
		want          submission.Result
		stored        uint64 // final generation; the initial one is 1
	}{
		"none":                    {want: submission.Accepted{Generation: 2}, stored: 2},
		"lost answers":            {first: platform.Faults{LoseAnswers: true}, second: platform.Faults{LoseAnswers: true}, want: submission.Accepted{Generation: 2}, stored: 2},
		"late write":              {first: platform.Faults{DelayWrites: 3 * time.Second}, after: 2 * time.Second, want: submission.Accepted{Generation: 2}, stored: 2},
		"late writes throughout":  {first: platform.Faults{DelayWrites: 3 * time.Second}, after: 20 * time.Second, want: submission.Accepted{Generation: 2}, stored: 2},
		"later than the attempt":  {first: platform.Faults{DelayWrites: time.Minute}, after: 20 * time.Second, want: submission.Undecided{}, stored: 2},
		"outage before":           {first: platform.Faults{Outage: true}, after: 20 * time.Second, want: submission.Unavailable{}, stored: 1},
		"short outage before":     {first: platform.Faults{Outage: true}, after: 50 * time.Millisecond, want: submission.Accepted{Generation: 2}, stored: 2},
		"outage after lost write": {first: platform.Faults{DelayWrites: time.Second}, second: platform.Faults{Outage: true}, after: 20 * time.Millisecond, want: submission.Undecided{}, stored: 2},
		"outage between":          {first: platform.Faults{Delay: 100 * time.Millisecond}, second: platform.Faults{Outage: true}, after: 150 * time.Millisecond, want: submission.Undecided{}, stored: 1},
		"slow":                    {first: platform.Faults{Delay: 900 * time.Millisecond}, after: 20 * time.Second, want: submission.Accepted{Generation: 2}, stored: 2},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			Convey("Given the fault "+name, t, func() {
				p := platform.New()
				submitFiles(p, 1)
				p.SetFaults(test.first)
				time.AfterFunc(test.after, func() { p.SetFaults(test.second) })
				got := newAcceptor(p, 0).Submit(context.Background(), []byte("new"), 1, "new")
				So(got, ShouldHaveSameTypeAs, test.want)
				if _, ok := got.(submission.Accepted); ok {
					So(got, ShouldResemble, test.want)
				}
				time.Sleep(2 * time.Minute)
				p.Wait()
				p.SetFaults(platform.Faults{})
				data, _ := p.Value(envelope.Key)
				e, err := envelope.Decode(data)
				So(err, ShouldBeNil)
				So(e.Generation, ShouldEqual, test.stored)
				if test.stored == 2 {
					So(newAcceptor(p, 0).Submit(context.Background(), []byte("new"), 1, "new"), ShouldResemble,
						submission.Accepted{Generation: 2})
				}
			})
		})
	}
}

// TestRefusals guards against a file that is accepted with a wrong base, and against a repeat that is executed again or
// gets another result.
func TestRefusals(t *testing.T) {
	text := func(g int) string { return fmt.Sprint("text ", g) }
	tests := map[string]struct {
		text, id        string
		base, announced uint64
		rollBack        bool
		want            submission.Result
	}{
		"stale base":           {text: "x", id: "x", base: 18, want: submission.BaseMismatch{Expected: 18, Found: 20}},
		"future base":          {text: "x", id: "x", base: 21, want: submission.BaseMismatch{Expected: 21, Found: 20}},
		"repeat":               {text: text(19), id: "s19", base: 18, want: submission.Accepted{Generation: 19}},
		"repeat after history": {text: text(2), id: "s2", base: 1, want: submission.Undecided{}},
		"id of another file":   {text: "x", id: "s19", base: 20, want: submission.Invalid{}},
		"bad id":               {text: "x", id: "a b", base: 20, want: submission.Invalid{}},
		"bad text":             {text: "bad", id: "x", base: 20, want: submission.Invalid{}},
		"store behind peers":   {text: "x", id: "x", base: 20, announced: 21, want: submission.Unavailable{}},
		"store behind this VM": {text: "x", id: "x", base: 3, rollBack: true, want: submission.Unavailable{}},
		"too large to store":   {text: incompressible(2 << 20), id: "x", base: 20, want: submission.Invalid{}},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			Convey("Given generation 20 and the submission "+name, t, func() {
				p := platform.New()
				submitFiles(p, 20)
				a := newAcceptor(p, test.announced)
				if test.rollBack {
					a.Submit(context.Background(), []byte("y"), 0, "y")
					So(p.RollBack(envelope.Key, 3), ShouldBeNil)
				}
				before := p.Counts().ByEndpoint["put"]
				got := a.Submit(context.Background(), []byte(test.text), test.base, test.id)
				switch got.(type) {
				case submission.Accepted, submission.BaseMismatch:
					So(got, ShouldResemble, test.want)
				default:
					So(got, ShouldHaveSameTypeAs, test.want)
				}
				So(p.Counts().ByEndpoint["put"], ShouldEqual, before)
			})
		})
	}
}

// announcingStore is a store during whose reads a peer announces generation 2.
type announcingStore struct {
	submission.Store
	announced uint64
}

func (a *announcingStore) Get(ctx context.Context, key string) (store.Value, error) {
	v, err := a.Store.Get(ctx, key)
	a.announced = 2
	return v, err
}

// TestOvertaken guards against a false report to the loser of a race that the store is behind: the winner's generation
// is announced while the loser reads the store.
func TestOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a generation that is announced during the read", t, func() {
			p := platform.New()
			submitFiles(p, 1)
			s := &announcingStore{Store: store.NewWithTransport("store", p.Transport())}
			a := submission.New(s, generation.New(parse), parse, func() uint64 { return s.announced }, logrus.New())
			So(a.Submit(context.Background(), []byte("x"), 1, "x"), ShouldResemble, submission.Accepted{Generation: 2})
		})
	})
}

// incompressible returns text that does not compress.
func incompressible(n int) string {
	text := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(text)
	return string(text)
}

// TestRace guards against two concurrent submissions that are both reported as accepted, also while answers are lost.
func TestRace(t *testing.T) {
	for name, faults := range map[string]platform.Faults{
		"no fault": {}, "lost answers": {LoseAnswers: true}, "late writes": {DelayWrites: 700 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("Given ten operators with one base and "+name, t, func() {
				p := platform.New()
				p.SetFaults(faults)
				results := make(chan submission.Result)
				for i := range 10 {
					go func() {
						id := fmt.Sprint("operator-", i)
						results <- newAcceptor(p, 0).Submit(context.Background(), []byte(id), 0, id)
					}()
				}
				counts := make(map[string]int)
				for range 10 {
					counts[fmt.Sprint(<-results)]++
				}
				p.Wait()
				So(counts, ShouldResemble, map[string]int{"{1}": 1, "{0 1}": 9})
			})
		})
	}
}

package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/presence"
	"github.com/fulmarhitch/fulmarhitch/relay"
)

// meter counts the bytes that a listener's connections send.
type meter struct {
	net.Listener
	sent atomic.Int64
}

func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	return &meteredConn{c, m}, err
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Write(b []byte) (int, error) {
	c.meter.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// newTable returns a table that lists only the VM.
func newTable(name string) *presence.Table {
	return presence.New(fleet.VM{Name: name}, func([]fleet.VM) {}, logrus.NewEntry(&logrus.Logger{}))
}

// serve serves the log and returns a peer that reads it and the meter of its answers.
func serve(t *testing.T, l *relay.Log) (*relay.Peer, *meter) {
	return serveList(t, l, newTable("server"), newTable("follower"))
}

// serveList is like serve with the tables of the server and of the follower.
func serveList(t *testing.T, l *relay.Log, server, follower *presence.Table) (*relay.Peer, *meter) {
	s := httptest.NewUnstartedServer(relay.Handler(l, server))
	m := &meter{Listener: s.Listener}
	s.Listener = m
	s.Start()
	t.Cleanup(s.Close)
	client := relay.NewClient(follower)
	t.Cleanup(client.Close)
	return relay.NewPeer(client, strings.TrimPrefix(s.URL, "http://")), m
}

// TestLargeConfiguration guards against a VM whose link is saturated for seconds while it passes a configuration of 1,000
// routes on to 110 followers.
func TestLargeConfiguration(t *testing.T) {
	Convey("Given a configuration of 1,000 routes", t, func() {
		var b strings.Builder
		for i := range 1000 {
			b.WriteString(`{"prefix":"/route-`)
			b.WriteString(http.StatusText(400 + i%18))
			b.WriteString(`/","service":"records","timeout":"3000ms","attempts":2,"target":"400ms"},`)
		}
		l := relay.NewLog()
		l.Add(mirror.Batch{Whole: true, Revision: 7, Entries: []mirror.Entry{
			{Key: "rules", Value: []byte(b.String()), Revision: 7}, {Key: "small", Value: []byte("x"), Revision: 3},
		}}, time.Now())
		peer, m := serve(t, l)
		for range 10 {
			got, err := peer.Snapshot(t.Context())
			So(err, ShouldBeNil)
			So(got.Entries, ShouldHaveLength, 2)
			So(string(got.Entries[0].Value), ShouldEqual, "x")
			So(string(got.Entries[1].Value), ShouldEqual, b.String())
		}
		So(m.sent.Load(), ShouldBeLessThan, 10*b.Len()/4)
	})
}

// TestSince guards against a follower that misses a removal, waits although there are changes, or takes stale entries for
// current ones.
func TestSince(t *testing.T) {
	put := func(key string, revision uint64) mirror.Entry { return mirror.Entry{Key: key, Revision: revision} }
	removed := func(key string, revision uint64) mirror.Entry {
		return mirror.Entry{Key: key, Revision: revision, Deleted: true}
	}
	for name, c := range map[string]struct {
		after uint64
		whole bool
		keys  string
	}{
		"no revision":            {0, true, "b a"},
		"before the first read":  {2, true, "b a"},
		"a removal and a change": {4, false, "c a"},
		"the last change":        {5, false, "a"},
		"up to date":             {6, false, ""},
	} {
		Convey(name, t, func() {
			l := relay.NewLog()
			l.Add(mirror.Batch{Whole: true, Revision: 4, Entries: []mirror.Entry{put("a", 2), put("b", 3), put("c", 4)}}, time.Now())
			l.Add(mirror.Batch{Revision: 6, Entries: []mirror.Entry{removed("c", 5), put("a", 6)}}, time.Now().Add(-time.Second))
			peer, _ := serve(t, l)
			got, err := peer.Watch(t.Context(), mirror.Position{Revision: c.after}, 20*time.Millisecond)
			So(err, ShouldBeNil)
			var keys []string
			for _, e := range got.Entries {
				keys = append(keys, e.Key)
			}
			So(strings.Join(keys, " "), ShouldEqual, c.keys)
			So(got.Whole, ShouldEqual, c.whole)
			So(got.Age, ShouldBeGreaterThanOrEqualTo, time.Second)
		})
	}
}

// keys returns the keys of the entries, removed ones with a minus sign.
func keys(b mirror.Batch) string {
	var list []string
	for _, e := range b.Entries {
		if e.Deleted {
			e.Key = "-" + e.Key
		}
		list = append(list, e.Key)
	}
	return strings.Join(list, " ")
}

// TestStoreRestored guards against a follower that misses entries, or keeps lost ones, because it knows a revision of the
// store's history from before the store was restored from an older copy.
func TestStoreRestored(t *testing.T) {
	put := func(key string, revision uint64) mirror.Entry { return mirror.Entry{Key: key, Revision: revision} }
	for name, c := range map[string]struct {
		after mirror.Position
		whole bool
		era   uint64
		keys  string
	}{
		"no position":                           {mirror.Position{}, true, 2, "a c d"},
		"the last revision of the lost history": {mirror.Position{Era: 1, Revision: 6}, true, 2, "a c d"},
		"the same number in the lost history":   {mirror.Position{Era: 1, Revision: 5}, true, 2, "a c d"},
		"a revision of the new history":         {mirror.Position{Era: 2, Revision: 4}, false, 2, "d"},
		"up to date":                            {mirror.Position{Era: 2, Revision: 5}, false, 2, ""},
		"a later history":                       {mirror.Position{Era: 3, Revision: 2}, false, 2, ""},
		"a follower that states no era":         {mirror.Position{Revision: 4}, false, 2, "d"},
	} {
		Convey(name, t, func() {
			l := relay.NewLog()
			peer, _ := serve(t, l)
			l.Add(mirror.Batch{Whole: true, Era: 1, Revision: 5, Entries: []mirror.Entry{put("a", 2), put("b", 3)}}, time.Now())
			// The first answer must not be kept for followers in the new history.
			_, err := peer.Snapshot(t.Context())
			So(err, ShouldBeNil)
			l.Add(mirror.Batch{Era: 1, Revision: 6, Entries: []mirror.Entry{{Key: "b", Revision: 6, Deleted: true}}}, time.Now())
			l.Add(mirror.Batch{Whole: true, Era: 2, Revision: 3, Entries: []mirror.Entry{put("a", 2), put("c", 3)}}, time.Now())
			l.Add(mirror.Batch{Era: 2, Revision: 5, Entries: []mirror.Entry{put("d", 5)}}, time.Now())
			got, err := peer.Watch(t.Context(), c.after, 20*time.Millisecond)
			So(err, ShouldBeNil)
			So(keys(got), ShouldEqual, c.keys)
			So(got.Whole, ShouldEqual, c.whole)
			So(got.Position(), ShouldResemble, mirror.Position{Era: c.era, Revision: 5})
		})
	}
	Convey("a follower that waits", t, func() {
		l := relay.NewLog()
		peer, _ := serve(t, l)
		l.Add(mirror.Batch{Whole: true, Era: 1, Revision: 5, Entries: []mirror.Entry{put("a", 2)}}, time.Now())
		_, err := peer.Watch(t.Context(), mirror.Position{Era: 1, Revision: 5}, 0)
		So(err, ShouldBeNil)
		time.AfterFunc(50*time.Millisecond, func() {
			l.Add(mirror.Batch{Whole: true, Era: 2, Revision: 3, Entries: []mirror.Entry{put("c", 3)}}, time.Now())
		})
		start := time.Now()
		got, err := peer.Watch(t.Context(), mirror.Position{Era: 1, Revision: 5}, 5*time.Second)
		So(err, ShouldBeNil)
		So(keys(got), ShouldEqual, "c")
		So(time.Since(start), ShouldBeLessThan, 2*time.Second)
	})
}

// TestEarlierRelease guards against VMs that can't follow a VM of a release that doesn't know eras while they are replaced one
// after the other.
func TestEarlierRelease(t *testing.T) {
	Convey("Given a server that states no era", t, func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write([]byte(`{"whole":false,"revision":7,"age-ms":3,"fresh":true,"list":{"origin":"","version":0}}`))
		}))
		defer s.Close()
		client := relay.NewClient(newTable("follower"))
		defer client.Close()
		got, err := relay.NewPeer(client, strings.TrimPrefix(s.URL, "http://")).Watch(t.Context(), mirror.Position{Era: 3, Revision: 7}, 0)
		So(err, ShouldBeNil)
		So(got.Position(), ShouldResemble, mirror.Position{Era: 3, Revision: 7})
	})
}

// TestOlderRead guards against a follower that misses changes because the VM that it follows read older entries again and
// states the revision that it knew before for them.
func TestOlderRead(t *testing.T) {
	Convey("Given a log that goes back to an older read", t, func() {
		l := relay.NewLog()
		peer, _ := serve(t, l)
		l.Add(mirror.Batch{Whole: true, Revision: 6, Entries: []mirror.Entry{{Key: "a", Revision: 6}}}, time.Now())
		l.Add(mirror.Batch{Whole: true, Revision: 4, Entries: []mirror.Entry{{Key: "a", Revision: 4}}}, time.Now())
		got, err := peer.Snapshot(t.Context())
		So(err, ShouldBeNil)
		So(got.Revision, ShouldEqual, 4)
	})
}

// TestReadAgain guards against followers that all get every entry again because the VM that they follow has read all
// entries again.
func TestReadAgain(t *testing.T) {
	Convey("Given a follower that knows an earlier revision", t, func() {
		l := relay.NewLog()
		l.Add(mirror.Batch{Whole: true, Revision: 4, Entries: []mirror.Entry{
			{Key: "a", Revision: 2}, {Key: "b", Revision: 3}, {Key: "c", Revision: 4},
		}}, time.Now())
		l.Add(mirror.Batch{Whole: true, Revision: 7, Entries: []mirror.Entry{{Key: "a", Revision: 2}, {Key: "c", Revision: 6}}}, time.Now())
		peer, _ := serve(t, l)
		got, err := peer.Watch(t.Context(), mirror.Position{Revision: 4}, 0)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, mirror.Batch{Revision: 7, Age: got.Age, Entries: []mirror.Entry{
			{Key: "c", Revision: 6}, {Key: "b", Revision: 7, Deleted: true},
		}})
	})
}

// TestLost guards against followers that wait for a VM that has lost contact with the store.
func TestLost(t *testing.T) {
	Convey("Given a follower that waits", t, func() {
		l := relay.NewLog()
		l.Add(mirror.Batch{Whole: true, Revision: 1}, time.Now())
		peer, _ := serve(t, l)
		result := make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go func() {
			_, err := peer.Watch(ctx, mirror.Position{Revision: 1}, 5*time.Second)
			result <- err
		}()
		time.Sleep(50 * time.Millisecond)
		l.Lost()
		So(errors.Is(<-result, mirror.ErrStale), ShouldBeTrue)
	})
}

// TestList guards against a follower that does not get the list of VMs, or waits for it while there is a new one, or calls
// again and again a VM that has no list yet.
func TestList(t *testing.T) {
	Convey("Given a server and a follower with a list of its own", t, func() {
		l := relay.NewLog()
		l.Add(mirror.Batch{Whole: true, Revision: 1}, time.Now())
		server, follower := newTable("server"), newTable("follower")
		follower.Lead(true, "earlier", time.Now())
		follower.Lead(false, "", time.Now())
		peer, _ := serveList(t, l, server, follower)
		watch := func() time.Duration {
			start := time.Now()
			_, err := peer.Watch(t.Context(), mirror.Position{Revision: 1}, 300*time.Millisecond)
			So(err, ShouldBeNil)
			return time.Since(start)
		}
		// The first call only says that the report is needed.
		watch()
		So(watch(), ShouldBeGreaterThanOrEqualTo, 300*time.Millisecond)
		server.Lead(true, "new", time.Now())
		watch()
		So(follower.Position().Origin, ShouldEqual, "new")
		time.Sleep(400 * time.Millisecond)
		watch()
		So(follower.Changes(presence.Position{}, time.Now()).VMs, ShouldHaveLength, 2)
		So(watch(), ShouldBeGreaterThanOrEqualTo, 300*time.Millisecond)
	})
}

// TestSentAge guards against a follower that takes rules for confirmed later than the call of the store was sent: the time that a
// message takes and that of the wait must not be lost, and a relay that doesn't know the time must not state one.
func TestSentAge(t *testing.T) {
	Convey("Given a relay whose call of the store was sent 400 ms ago, on its own clock", t, func() {
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) + time.Hour }
		l := relay.NewLogWithClock(clock)
		peer, _ := serve(t, l)
		l.Add(mirror.Batch{Whole: true, Revision: 1, Confirmed: clock() - 400*time.Millisecond, IsConfirmed: true}, time.Now())
		sent := time.Now()
		b, err := peer.Watch(t.Context(), mirror.Position{Revision: 1}, 100*time.Millisecond)
		So(err, ShouldBeNil)
		So(b.HasSentAge, ShouldBeTrue)
		So(time.Since(sent), ShouldBeGreaterThan, 100*time.Millisecond)
		So(b.SentAge, ShouldBeBetween, 400*time.Millisecond, 400*time.Millisecond+time.Since(sent))
		Convey("that makes another call during the wait, the age is negative", func() {
			time.AfterFunc(100*time.Millisecond, func() {
				l.Add(mirror.Batch{Revision: 2, Entries: []mirror.Entry{{Key: "a", Revision: 2}}, Confirmed: clock() - 20*time.Millisecond, IsConfirmed: true}, time.Now())
			})
			b, err := peer.Watch(t.Context(), mirror.Position{Revision: 1}, 5*time.Second)
			So(err, ShouldBeNil)
			So(b.SentAge, ShouldBeLessThan, 0)
			So(b.SentAge, ShouldBeGreaterThan, -5*time.Second)
		})
		Convey("that then follows a VM of an earlier release, no age is stated", func() {
			l.Add(mirror.Batch{Revision: 1}, time.Now())
			b, err := peer.Watch(t.Context(), mirror.Position{Revision: 1}, 10*time.Millisecond)
			So(err, ShouldBeNil)
			So(b.HasSentAge, ShouldBeFalse)
		})
	})
}

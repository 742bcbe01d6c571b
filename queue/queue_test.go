package queue_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/queue"
	"github.com/fulmarhitch/fulmarhitch/request"
)

var start = time.Unix(1000, 0)

func item(id string, weight int, deadline time.Duration, lane int) *queue.Item {
	r := &request.Request{ID: id, Weight: weight, Deadline: start.Add(deadline)}
	return &queue.Item{Request: r, Lane: lane}
}

func joinIDs(items []*queue.Item) string {
	var ids []string
	for _, it := range items {
		ids = append(ids, it.Request.ID)
	}
	return strings.Join(ids, " ")
}

// TestOrder guards against a queue that serves, drops or displaces items in an order other than weight, then deadline.
func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		limit                    int
		items                    []*queue.Item
		now                      time.Duration
		blocked                  int
		order, expired, displace string
	}{
		"weight before deadline": {
			limit: 9, blocked: -1, order: "b c a",
			items: []*queue.Item{item("a", 1, 100, 0), item("b", 2, 200, 0), item("c", 2, 300, 1)},
		},
		"lowest weight and latest deadline is displaced": {
			limit: 2, blocked: -1, order: "b a", displace: "c d",
			items: []*queue.Item{item("a", 1, 100, 0), item("b", 2, 400, 0), item("c", 1, 200, 0), item("d", 1, 300, 0)},
		},
		"requests that can't meet their deadline are dropped behind others too": {
			limit: 9, blocked: -1, now: 95, order: "b c", expired: "a",
			items: []*queue.Item{item("b", 2, 200, 0), item("a", 1, 100, 0), item("c", 1, 105, 0)},
		},
		"a blocked lane is skipped": {
			limit: 9, blocked: 1, order: "b d",
			items: []*queue.Item{item("a", 9, 100, 1), item("b", 2, 200, 0), item("c", 3, 200, 1), item("d", 1, 200, 2)},
		},
	} {
		Convey(name, t, func() {
			q := queue.New(c.limit)
			var displaced, order, expired []*queue.Item
			for _, it := range c.items {
				if d := q.Push(it); d != nil {
					displaced = append(displaced, d)
				}
			}
			for {
				next, late := q.Pop(start.Add(c.now), 10, func(it *queue.Item) bool { return it.Lane != c.blocked })
				expired = append(expired, late...)
				if next == nil {
					break
				}
				order = append(order, next)
				So(q.Remove(next), ShouldBeFalse)
			}
			So(joinIDs(displaced), ShouldEqual, c.displace)
			So(joinIDs(order), ShouldEqual, c.order)
			So(joinIDs(expired), ShouldEqual, c.expired)
		})
	}
}

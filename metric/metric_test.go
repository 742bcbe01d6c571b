package metric_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/metric"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

func declarationOf(classes ...string) *declaration.Declaration {
	s := declaration.Service{Name: "s", Tenant: "t"}
	for _, c := range classes {
		s.Kinds = append(s.Kinds, declaration.Kind{Name: c, Class: c})
	}
	return &declaration.Declaration{Services: []declaration.Service{s}}
}

func scrape(m *metric.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestLabels guards against label sets that grow with each new configuration or with what callers send, and against
// counts that are lost when a new configuration keeps a class.
func TestLabels(t *testing.T) {
	Convey("labels follow the configuration", t, func() {
		m := metric.New()
		m.Update(declarationOf("short", "old"), []string{"s/a", "s/b"})
		m.Class("t", "short").Done(outcome.Answered{}, time.Millisecond)
		m.Class("t", "invented").Done(outcome.NotRun{Reason: "made-up"}, time.Millisecond)
		m.Group("s/a").Set(3, 4)
		m.Update(declarationOf("short", "new"), []string{"s/a"})
		m.Class("t", "short").Done(outcome.Answered{}, time.Millisecond)
		text := scrape(m)
		So(text, ShouldContainSubstring, `fulmarhitch_outcomes_total{class="short",outcome="answered",reason="",tenant="t"} 2`)
		So(text, ShouldContainSubstring, `fulmarhitch_outcomes_total{class="other",outcome="other",reason="other",tenant="other"} 1`)
		So(text, ShouldContainSubstring, `fulmarhitch_waiting{group="s/a"} 4`)
		So(text, ShouldContainSubstring, `class="new"`)
		for _, gone := range []string{`class="old"`, `class="invented"`, `group="s/b"`, "made-up"} {
			So(strings.Contains(text, gone), ShouldBeFalse)
		}
	})
}

// TestAllocations guards against label look-ups in the data path.
func TestAllocations(t *testing.T) {
	m := metric.New()
	m.Update(declarationOf("short"), nil)
	var out outcome.Outcome = outcome.NotRun{Reason: outcome.QueueFull}
	n := testing.AllocsPerRun(100, func() {
		c := m.Class("t", "short")
		c.Done(out, time.Millisecond)
		c.Waited(time.Millisecond)
		c.Added(time.Millisecond)
	})
	if n > 0 {
		t.Errorf("%v allocations for each call", n)
	}
}

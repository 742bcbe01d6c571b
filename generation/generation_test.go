package generation_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/generation"
)

func parse(_ string, text []byte) (*declaration.Declaration, error) {
	if string(text) == "bad" {
		return nil, errors.New("bad text")
	}
	return &declaration.Declaration{}, nil
}

// TestInstall guards against installing a lower generation or conflicting content for the generation in force.
func TestInstall(t *testing.T) {
	tests := map[string]struct {
		generation uint64
		id, text   string
		installed  bool
		err        error
	}{
		"higher":           {6, "b", "new", true, nil},
		"lower":            {4, "b", "old", false, generation.ErrLower},
		"same":             {5, "a", "text", false, nil},
		"other text":       {5, "a", "other", false, generation.ErrDifferent},
		"other submission": {5, "b", "text", false, generation.ErrDifferent},
	}
	for name, test := range tests {
		Convey("Given generation 5 in force and the envelope "+name, t, func() {
			h := generation.New(parse)
			_, err := h.Install(envelope.Envelope{Generation: 5, Submission: "a", Text: []byte("text")})
			So(err, ShouldBeNil)
			changed := h.Changed()
			e := envelope.Envelope{Generation: test.generation, Submission: test.id, Text: []byte(test.text)}
			installed, err := h.Install(e)
			So(installed, ShouldEqual, test.installed)
			So(errors.Is(err, test.err), ShouldBeTrue)
			closed := false
			select {
			case <-changed:
				closed = true
			default:
			}
			So(closed, ShouldEqual, test.installed)
			So(h.Generation(), ShouldEqual, max(5, test.generation))
		})
	}
}

// TestUnreadable guards against installing a generation below one whose text this VM could not parse.
func TestUnreadable(t *testing.T) {
	Convey("Given a later generation that can't be parsed", t, func() {
		h := generation.New(parse)
		_, err := h.Install(envelope.Envelope{Generation: 5, Text: []byte("bad")})
		So(err, ShouldNotBeNil)
		So(h.Current(), ShouldBeNil)
		So(h.Highest(), ShouldEqual, 5)
		_, err = h.Install(envelope.Envelope{Generation: 4, Text: []byte("good")})
		So(errors.Is(err, generation.ErrLower), ShouldBeTrue)
	})
}

package envelope

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// chain returns the envelope after n submissions of the text.
func chain(n int, text []byte) Envelope {
	var e Envelope
	for i := range n {
		e = e.Next(fmt.Sprint("s", i), text)
	}
	return e
}

// TestRoundTrip guards against a codec that loses content, and against a history that loses or skips submissions.
func TestRoundTrip(t *testing.T) {
	Convey("Given the envelope of the 20th submission", t, func() {
		e := chain(20, []byte("[tenants]\n"))
		data, err := Encode(e)
		So(err, ShouldBeNil)
		got, err := Decode(data)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, e)
		So(len(got.History), ShouldEqual, MaxHistory)
		So([]bool{e.Covers(4), e.Covers(5), e.Covers(20), e.Covers(21)}, ShouldResemble, []bool{false, true, true, false})
	})
}

// TestDecodeRefuses guards against accepting a corrupt or inconsistent value or a decompression bomb.
func TestDecodeRefuses(t *testing.T) {
	encoder, _ := newEncoder()
	oversized := encoder.EncodeAll(make([]byte, MaxText+1), nil)
	tests := map[string]func(w *wireEnvelope){
		"bomb":           func(w *wireEnvelope) { w.Text = oversized },
		"not compressed": func(w *wireEnvelope) { w.Text = []byte("text") },
		"other text":     func(w *wireEnvelope) { w.Text = encoder.EncodeAll([]byte("other"), nil) },
		"no generation":  func(w *wireEnvelope) { w.Generation = 0 },
		"skipped":        func(w *wireEnvelope) { w.History[1].Generation-- },
		"no history":     func(w *wireEnvelope) { w.History = nil },
		"long history":   func(w *wireEnvelope) { w.History = append(w.History, make([]wireEntry, MaxHistory)...) },
		"no digest":      func(w *wireEnvelope) { w.History[0].Digest = "" },
		"other id":       func(w *wireEnvelope) { w.Submission = "x" },
		"long id":        func(w *wireEnvelope) { w.History[1].Submission = strings.Repeat("x", MaxSubmission+1) },
	}
	for name, corrupt := range tests {
		Convey("Given the corruption "+name, t, func() {
			data, err := Encode(chain(3, []byte("text")))
			So(err, ShouldBeNil)
			var w wireEnvelope
			So(json.Unmarshal(data, &w), ShouldBeNil)
			corrupt(&w)
			data, err = json.Marshal(w)
			So(err, ShouldBeNil)
			_, err = Decode(data)
			So(err, ShouldNotBeNil)
		})
	}
}

// FuzzDecode guards against a panic, and against an accepted envelope that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	random := rand.NewChaCha8([32]byte{1})
	text := make([]byte, 64)
	_, _ = random.Read(text)
	for _, n := range []int{1, 3} {
		data, err := Encode(chain(n, text))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"generation":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(again)
		if err != nil || got.Generation != e.Generation || !bytes.Equal(got.Text, e.Text) {
			t.Fatalf("stored again: %v, %v", got, err)
		}
	})
}

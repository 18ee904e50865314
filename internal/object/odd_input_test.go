package object

import (
	"bytes"
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/journal"
	"gypsumtide/internal/wire"
)

// oddTexts are texts that are no valid set of objects.
var oddTexts = map[string]string{
	"list nested deeply":      "kind: pool\nname: p\navailability-zones: " + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "\n",
	"blocks nested deeply":    strings.Repeat("- ", 20_000) + "x\n",
	"unclosed list":           "kind: pool\nname: p\navailability-zones: " + strings.Repeat("[", 9_000),
	"alias of itself":         "kind: pool\nname: p\navailability-zones: &a [*a]\n",
	"aliases grow":            "a: &a [x,x,x,x]\nb: &b [*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b]\nkind: [*c,*c]\nname: p\n",
	"number beyond an int":    "kind: route\nname: r\nservice: s\npriority: 9223372036854775808\n",
	"number beyond a float":   "kind: limit\nname: l\nrate: 1e400\n",
	"rate is no number":       "kind: limit\nname: l\nrate: NaN\n",
	"rate is infinite":        "kind: limit\nname: l\nrate: Inf\n",
	"bytes overflow":          "kind: service\nname: s\nmax-payload-bytes: 9223372036854775807GiB\n",
	"duration overflows":      "kind: service\nname: s\nrun-time: 9223372036854775807h\n",
	"negative share":          "kind: pool\nname: p\nreserve-short-percent: -1\n",
	"parents form a circle":   "kind: limit\nname: l\nrate: 1\nparent: m\n---\nkind: limit\nname: m\nrate: 1\nparent: l\n",
	"object of another type":  "[kind, pool]\n",
	"name of another type":    "kind: pool\nname: {a: b}\n",
	"truncated":               "kind: pool\nname: \"p",
	"bytes of no text":        "\xff\xfe\x00",
	"a key that is a mapping": "{? {a: b} : c}\n",
}

// Guards against a published text that ends the process, or that replaces the set in use.
func TestOddText(t *testing.T) {
	for name, text := range oddTexts {
		Convey("An odd text is rejected and the set before it stays in use: "+name, t, func() {
			_, err := Parse(File{Name: "f", Data: []byte(text)})
			So(err, ShouldNotBeNil)
			s := NewConfigurationState()
			for i, objects := range []string{poolText, text, poolText} {
				data, err := PublishRecord{ID: journal.ID{byte(i + 1)}, Base: uint64(i), Objects: []byte(objects)}.Encode()
				So(err, ShouldBeNil)
				before := s.Current().Set()
				s.Apply(uint64(i), data)
				So(s.Current().Number(), ShouldEqual, i+1)
				if i == 1 {
					So(s.Current().Err(), ShouldNotBeNil)
					So(s.Current().Set(), ShouldEqual, before)
				}
			}
			So(s.Current().Err(), ShouldBeNil)
		})
	}
}

// Guards against a record that ends the process or hides the publishes after it.
func TestOddPublish(t *testing.T) {
	good, err := PublishRecord{ID: journal.ID{1}, Objects: []byte(poolText)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, odd := range map[string][]byte{
		"empty":            nil,
		"truncated":        good[:len(good)-1],
		"nested deeply":    bytes.Repeat([]byte{0x81}, 100_000),
		"length overflows": {0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"base overflows":   {0xa1, 0x02, 0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		Convey("An odd record changes nothing and the next one is applied: "+name, t, func() {
			s := NewConfigurationState()
			s.Apply(0, odd)
			So(s.History(), ShouldBeEmpty)
			s.Apply(1, good)
			So(s.Current().Number(), ShouldEqual, 1)
		})
	}

	// Guards against a revision after which no publish is accepted.
	Convey("A snapshot with a revision that is never reached is rejected", t, func() {
		for _, number := range []uint64{math.MaxUint64, math.MaxInt64} {
			data, err := wire.Marshal(configurationSnapshot{Number: number, Objects: []byte(poolText)})
			So(err, ShouldBeNil)
			s := NewConfigurationState()
			So(s.Restore(data), ShouldNotBeNil)
			So(s.Current().Number(), ShouldEqual, 0)
		}
	})
}

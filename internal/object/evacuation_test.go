package object

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/journal"
)

const zone1Text = "kind: evacuation\nname: drill\navailability-zone: z1\n"

// evacuationState returns a state to which the texts were published, each 100 ms after the
// one before.
func evacuationState(texts ...string) *ConfigurationState {
	s := NewConfigurationState()
	for i, text := range texts {
		s.Apply(uint64(i), mustEncode(PublishRecord{ID: journal.ID{byte(i + 1)}, Base: uint64(i), Objects: []byte(text), Time: gypsumtide.Millis(100 * (i + 1))}))
	}
	return s
}

// TestEvacuatedZones guards against an evacuation that ends or whose begin changes with an
// unrelated publish, one that this version cannot parse, or a restored snapshot.
func TestEvacuatedZones(t *testing.T) {
	const zone2Text = "kind: evacuation\nname: a\navailability-zone: z2\n"
	const unknownKind = "kind: new\n"
	z1 := EvacuatedZone{Zone: "z1", Revision: 2, Time: 200}
	z2 := EvacuatedZone{Zone: "z2", Revision: 3, Time: 300}
	for _, c := range []struct {
		name    string
		texts   []string
		want    []EvacuatedZone
		version uint64
	}{
		{"none", []string{poolText}, nil, 1},
		{"the begin stays with later revisions", []string{poolText, zone1Text, zone1Text + "---\n" + poolText}, []EvacuatedZone{z1}, 3},
		{"a second zone", []string{poolText, zone1Text, zone2Text + "---\n" + zone1Text}, []EvacuatedZone{z1, z2}, 3},
		{"ended", []string{poolText, zone1Text, poolText}, nil, 3},
		{"begun again", []string{zone1Text, poolText, zone1Text}, []EvacuatedZone{{Zone: "z1", Revision: 3, Time: 300}}, 3},
		{"renamed", []string{poolText, zone1Text, "kind: evacuation\nname: other\navailability-zone: z1\n"}, []EvacuatedZone{z1}, 3},
		{"a revision that cannot be parsed", []string{poolText, zone1Text, unknownKind}, []EvacuatedZone{z1}, 2},
	} {
		Convey(c.name, t, func() {
			s := evacuationState(c.texts...)
			So(s.Current().EvacuatedZones(), ShouldResemble, c.want)
			So(s.Current().Evacuations().Version, ShouldEqual, c.version)
			So(s.Current().Evacuations().Zones, ShouldHaveLength, len(c.want))
			data, err := s.Snapshot()
			So(err, ShouldBeNil)
			restored := NewConfigurationState()
			So(restored.Restore(data), ShouldBeNil)
			So(restored.Current().EvacuatedZones(), ShouldResemble, c.want)
			So(restored.Current().Evacuations(), ShouldResemble, s.Current().Evacuations())
		})
	}
}

// TestEditEvacuation guards against an edit of the current text that loses or changes
// another object, or that leaves the zone evacuated.
func TestEditEvacuation(t *testing.T) {
	const quoted = "kind: evacuation\nname: \"z1\"\navailability-zone: \"z1\"\n"
	for _, c := range []struct{ name, before, after string }{
		{"empty text", "", quoted},
		{"after other objects", "# pools\n" + poolText + "queue: fifo", "# pools\n" + poolText + "queue: fifo\n---\n" + quoted},
	} {
		Convey("Add: "+c.name, t, func() {
			out, err := AddEvacuation([]byte(c.before), "z1")
			So(err, ShouldBeNil)
			So(string(out), ShouldEqual, c.after)
		})
	}
	for _, c := range []struct{ name, before, after string }{
		{"only object", zone1Text, ""},
		{"first", zone1Text + "---\n" + poolText, "---\n" + poolText},
		{"between, comments stay", "# a\n" + poolText + "--- # drill\n" + zone1Text + "---\n# b\nkind: team\nname: t\n", "# a\n" + poolText + "---\n# b\nkind: team\nname: t\n"},
		{"object that refers to others", poolText + "---\nkind: service\nname: s\npool: p\n---\n" + zone1Text, poolText + "---\nkind: service\nname: s\npool: p\n"},
		{"line ends of another system", "kind: pool\r\nname: p\r\n---\r\nkind: evacuation\r\nname: d\r\navailability-zone: z1\r\n", "kind: pool\r\nname: p\r\n"},
	} {
		Convey("Remove: "+c.name, t, func() {
			out, err := RemoveEvacuation([]byte(c.before), "z1")
			So(err, ShouldBeNil)
			So(string(out), ShouldEqual, c.after)
		})
	}
	Convey("An edit fails", t, func() {
		_, err := AddEvacuation([]byte(zone1Text), "z1")
		So(err, ShouldNotBeNil)
		_, err = AddEvacuation([]byte(zone1Text), "not a name")
		So(err, ShouldNotBeNil)
		_, err = RemoveEvacuation([]byte(poolText), "z1")
		So(err, ShouldNotBeNil)
		// Without the line ---, another object would go with the evacuation.
		_, err = RemoveEvacuation([]byte(poolText+"...\n"+zone1Text), "z1")
		So(err, ShouldNotBeNil)
	})
}

// TestExplainEvacuation guards against an explanation that gives no
// reason why a zone of the pool is not used, or names a zone that the pool does not have.
func TestExplainEvacuation(t *testing.T) {
	const reason = "availability zone z1 is not used: evacuation drill"
	Convey("An evacuation is a reason for pools with the zone", t, func() {
		So(mustParse(zone1Text).Explain("s", "").Reasons, ShouldContain, reason)
		far := "---\nkind: pool\nname: default\navailability-zones: [z2]\n"
		So(mustParse(zone1Text+far).Explain("s", "").Reasons, ShouldNotContain, reason)
	})
}

package object

import (
	"fmt"
	"strings"
	"testing"
)

// fullSize is a set for the 390 teams of the full size, with two routes each.
func fullSize() []byte {
	var b strings.Builder
	for i := range 100 {
		fmt.Fprintf(&b, "kind: service\nname: s%d\nrun-time: 80ms\n---\n", i)
	}
	for i := range 390 {
		fmt.Fprintf(&b, "kind: limit\nname: l%d\nrate: 100\n---\nkind: team\nname: t%d\nlimits: [l%d]\n---\n", i, i, i)
		for k := range 2 {
			fmt.Fprintf(&b, "kind: route\nname: r%d-%d\nservice: s%d\nteam: t%d\n---\n", i, k, (i+k)%100, i)
		}
	}
	return []byte(b.String())
}

// BenchmarkParse measures the time for which a publish holds readers back.
func BenchmarkParse(b *testing.B) {
	text := fullSize()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Parse(File{Name: "full-size", Data: text}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRoute measures the lookup that each job needs.
func BenchmarkRoute(b *testing.B) {
	set, err := Parse(File{Name: "full-size", Data: fullSize()})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		set.Route("s7", "t7")
	}
}

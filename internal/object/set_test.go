package object

import (
	"fmt"
	"strings"
	"testing"
)

// fullSizeConfiguration returns the objects of a full-size deployment: 390 teams with two
// routes each, and 100 services.
func fullSizeConfiguration() []byte {
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

// BenchmarkParse measures how long applying a publish blocks readers of the state.
func BenchmarkParse(b *testing.B) {
	text := fullSizeConfiguration()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Parse(File{Name: "full-size", Data: text}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRoute measures the lookup that every job needs.
func BenchmarkRoute(b *testing.B) {
	set, err := Parse(File{Name: "full-size", Data: fullSizeConfiguration()})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		set.Route("s7", "t7")
	}
}

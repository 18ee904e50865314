package object

import (
	_ "embed"
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

//go:embed testdata/sample.yaml
var sample string

func mustParse(text string) *Set {
	s, err := Parse(File{Name: "a.yaml", Data: []byte(text)})
	So(err, ShouldBeNil)
	return s
}

// TestParseErrors guards against invalid sets that are accepted, and against errors
// with a wrong line or a missing cause.
func TestParseErrors(t *testing.T) {
	service := "kind: service\nname: s\n"
	pool := "kind: pool\nname: p\n"
	limit := "kind: limit\nname: l\nconcurrency: 1\n"
	for _, c := range []struct {
		name, text string
		errs       []string
	}{
		{"no documents", "", nil},
		{"empty documents", "---\n---\n# nothing\n", nil},
		{"alias", "kind: pool\nname: &n p\navailability-zones: [*n]\n", nil},
		{"not a mapping", "- a\n", []string{`1: an object must be a mapping with kind and name`}},
		{"no kind", "name: x\n", []string{`1: key "kind" is missing`}},
		{"kind is a list", "kind: [a]\n", []string{`1: kind: must be a single value`}},
		{"unknown kind", "name: x\nkind: servce\n", []string{`2: unknown kind "servce", nearest is "service"`}},
		{"no name", "kind: pool\n", []string{`1: pool: key "name" is missing`}},
		{"empty name", "kind: pool\nname:\n", []string{`2: pool : name: must be a single value`}},
		{"bad name", "kind: pool\nname: a b\n", []string{`2: pool : name: "a b" is not a name`}},
		{"unknown key", pool + "queu: fair\n", []string{`3: pool p: unknown key "queu", nearest is "queue"`}},
		{"key in snake case", service + "run_time: 5ms\n", []string{`3: service s: unknown key "run_time", nearest is "run-time"`}},
		{"key given twice", pool + "queue: fair\nqueue: fifo\n", []string{`4: key "queue" is given twice`}},
		{"key is a mapping", "? {a: b}\n: c\n", []string{`1: a key must be a single word`, `1: key "kind" is missing`}},
		{"no unit", service + "run-time: 80\n", []string{`3: service s: run-time: "80" is not a duration with a unit`}},
		{"bad unit", service + "max-payload-bytes: 4MB\n", []string{`3: service s: max-payload-bytes: "4MB" is not a number of bytes`}},
		{"payload too large", service + "max-payload-bytes: 33MiB\n", []string{`3: service s: max-payload-bytes: 33MiB is outside 1 to 33554432 bytes`}},
		{"payload size overflows", service + "max-payload-bytes: 9223372036854775807GiB\n", []string{`3: service s: max-payload-bytes: 9223372036854775807GiB is outside`}},
		{"out of range", pool + "overcommit: 9\nreserve-short-percent: -1\n", []string{
			`3: pool p: overcommit: 9 is outside 0 to 8`, `4: pool p: reserve-short-percent: -1 is outside 0 to 90`}},
		{"not a number", limit + "rate: fast\nburst: 1.5\n", []string{
			`4: limit l: rate: "fast" is not a number`, `5: limit l: burst: "1.5" is not a whole number`}},
		{"burst without rate", limit + "burst: 5\n", []string{`1: limit l: burst needs a rate`}},
		{"only bound is invalid, missing bound not reported", "kind: limit\nname: l\nrate: 0\n", []string{`3: limit l: rate: 0 is outside 0.001 to 1000000000`}},
		{"not a finite number", limit + "rate: NaN\n", []string{`4: limit l: rate: "NaN" is not a number`}},
		{"unknown policy", pool + "placement: leest-loaded\n", []string{`3: pool p: placement: "leest-loaded" is none of least-loaded, power-of-two, round-robin, random, believed-free, nearest is "least-loaded"`}},
		{"not a list", pool + "availability-zones: a\n", []string{`3: pool p: availability-zones: must be a list of names`}},
		{"listed twice", pool + "availability-zones: [a, a]\n", []string{`3: pool p: availability-zones: "a" is listed twice`}},
		{"limit without bound", "kind: limit\nname: l\n", []string{`1: limit l: needs at least one of`}},
		{"duplicate", pool + "---\n" + pool, []string{`4: pool p: already defined at a.yaml:1`}},
		{"same name, other kind", pool + "---\nkind: team\nname: p\n", nil},
		{"missing pool", pool + "---\n" + service + "pool: q\n", []string{`6: service s: pool: there is no pool "q", nearest is "p"`}},
		{"missing everything", "kind: route\nname: r\nservice: s\nteam: t\npool: q\nlimits: [l]\n", []string{
			`3: route r: service: there is no service "s"`, `4: route r: team: there is no team "t"`,
			`5: route r: pool: there is no pool "q", nearest is "default"`, `6: route r: limits: there is no limit "l"`}},
		{"own parent", limit + "parent: l\n", []string{`4: limit l: parent: cycle l -> l`}},
		{"cycle reported once", limit + "parent: m\n---\nkind: limit\nname: m\nrate: 1\nparent: l\n", []string{`4: limit l: parent: cycle l -> m -> l`}},
		{"limit that leads to a cycle", limit + "parent: l\n---\nkind: limit\nname: a\nrate: 1\nparent: l\n", []string{`4: limit l: parent: cycle l -> l`}},
		{"ambiguous routes", service + "---\nkind: route\nname: r1\nservice: s\n---\nkind: route\nname: r2\nservice: s\n", []string{
			`8: route r2: same service, team and priority as route r1`}},
		{"two evacuations", "kind: evacuation\nname: a\navailability-zone: z1\n---\nkind: evacuation\nname: b\navailability-zone: z2\n", nil},
		{"evacuation without a zone", "kind: evacuation\nname: a\n", []string{`1: evacuation: key "availability-zone" is missing`}},
		{"evacuation of several zones", "kind: evacuation\nname: a\navailability-zone: [z1]\n", []string{`3: evacuation a: availability-zone: must be a single value`}},
		{"zone evacuated twice", "kind: evacuation\nname: a\navailability-zone: z\n---\nkind: evacuation\nname: b\navailability-zone: z\n", []string{
			`7: evacuation b: same availability zone as evacuation a`}},
		{"errors before a syntax error are kept", "kind: x\n---\nkind: [\n", []string{`1: unknown kind "x"`, `not valid YAML`}},
	} {
		Convey("Parse: "+c.name, t, func() {
			set, err := Parse(File{Name: "a.yaml", Data: []byte(c.text)})
			if len(c.errs) == 0 {
				So(err, ShouldBeNil)
				return
			}
			So(set, ShouldBeNil)
			var errs Errors
			So(errors.As(err, &errs), ShouldBeTrue)
			So(strings.Split(err.Error(), "\n"), ShouldHaveLength, len(c.errs))
			for i, want := range c.errs {
				So(errs[i].Error(), ShouldContainSubstring, want)
				So(errs[i].File, ShouldEqual, "a.yaml")
			}
		})
	}
	Convey("The length of a chain of parents is bounded", t, func() {
		var text strings.Builder
		for i := range maxLimitDepth + 1 {
			fmt.Fprintf(&text, "kind: limit\nname: l%d\nrate: 1\nparent: l%d\n---\n", i, i+1)
		}
		text.WriteString(limit)
		_, err := Parse(File{"a.yaml", []byte(strings.Replace(text.String(), "name: l\n", "name: l17\n", 1))})
		So(err, ShouldNotBeNil)
		So(strings.Split(err.Error(), "\n"), ShouldHaveLength, 2)
		So(err.Error(), ShouldStartWith, "a.yaml:4: limit l0: parent: more than 16 limits in a chain\n")
	})
	Convey("Errors of several files follow the order of the files", t, func() {
		_, err := Parse(File{"z.yaml", []byte("kind: a\n")}, File{"b.yaml", []byte("kind: pool\nname: p\n---\nkind: b\n")}, File{"c.yaml", []byte("kind: pool\nname: p\n")})
		So(err, ShouldNotBeNil)
		lines := strings.Split(err.Error(), "\n")
		So(lines, ShouldHaveLength, 3)
		So(lines[0], ShouldStartWith, "z.yaml:1: ")
		So(lines[1], ShouldStartWith, "b.yaml:4: ")
		So(lines[2], ShouldStartWith, "c.yaml:1: pool p: already defined at b.yaml:1")
	})
	Convey("Joined files parse to the same set", t, func() {
		parts := strings.SplitN(sample, "---\n", 2)
		joined := Join([]File{{"a", []byte(strings.TrimSpace(parts[0]))}, {"b", []byte(parts[1])}})
		So(Diff(mustParse(sample), mustParse(string(joined))), ShouldBeEmpty)
	})
}

// TestRoute guards against a wrong pool or wrong limits, and against an explanation
// that differs from what Route returns.
func TestRoute(t *testing.T) {
	for _, c := range []struct {
		name, text, service, team string
		route, pool               string
		limits                    []string
		reason                    string
	}{
		{"nothing published", "", "any", "who", "", "default", []string{}, `service "any" is not defined`},
		{"undefined service beside others", sample, "other", "audit", "", "default", []string{}, "no route matches"},
		{"team's route is more specific", sample, "stock-check", "shop", "checks-shop", "slow", []string{"orders", "all", "retail"}, "route checks-all matches, but route checks-shop is more specific"},
		{"highest priority", sample, "stock-check", "audit", "checks-all", "checks", []string{"all"}, "route checks-low matches, but route checks-all has a higher priority (5, not 0)"},
		{"undefined team", sample, "stock-check", "who", "checks-all", "checks", []string{"all"}, `team "who" is not defined`},
		{"no team", sample, "stock-check", "", "checks-all", "checks", []string{"all"}, "pool checks: the pool of the service"},
		{"team's limits without a route", sample, "other", "shop", "", "default", []string{"orders", "all"}, "limit all: parent of limit orders"},
	} {
		Convey("Route: "+c.name, t, func() {
			set := mustParse(c.text)
			resolved := set.Route(c.service, c.team)
			limits := []string{}
			for _, l := range resolved.Limits() {
				limits = append(limits, l.Name)
			}
			So(resolved.Service().Name, ShouldEqual, c.service)
			So(resolved.Team().Name, ShouldEqual, c.team)
			So(resolved.Route(), ShouldEqual, c.route)
			So(resolved.Pool().Name, ShouldEqual, c.pool)
			So(limits, ShouldResemble, c.limits)
			e := set.Explain(c.service, c.team)
			So(e.Route, ShouldEqual, c.route)
			So(e.Pool, ShouldResemble, resolved.Pool())
			So(len(e.Limits), ShouldEqual, len(c.limits))
			So(strings.Join(e.Reasons, "\n"), ShouldContainSubstring, c.reason)
		})
	}
	Convey("Defaults", t, func() {
		set := mustParse(sample)
		p, ok := set.Pool("slow")
		So(ok, ShouldBeTrue)
		So(p, ShouldResemble, defaultPool("slow"))
		l, ok := set.Limit("all")
		So(ok, ShouldBeTrue)
		So(l.Burst, ShouldEqual, 1000)
		So(set.Service("stock-check"), ShouldResemble, Service{"stock-check", "checks", 80, 65536})
	})
}

// TestDiff guards against changes that are missing from the diff shown to operators.
func TestDiff(t *testing.T) {
	pool := "kind: pool\nname: p\n"
	for _, c := range []struct {
		name, a, b string
		want       []string
	}{
		{"same", sample, sample, []string{}},
		{"added", "", pool, []string{"added pool p"}},
		{"removed", pool, "", []string{"removed pool p"}},
		{"default pool changed", "", "kind: pool\nname: default\nqueue: fifo\n", []string{`changed pool default: queue "fair" -> "fifo"`}},
		{"list and number", pool, pool + "overcommit: 2\navailability-zones: [z]\n", []string{`changed pool p: availability-zones [] -> ["z"], overcommit 1 -> 2`}},
		{"explicit default", pool, pool + "overcommit: 1\navailability-zones: []\n", []string{}},
	} {
		Convey("Diff: "+c.name, t, func() {
			got := []string{}
			for _, change := range Diff(mustParse(c.a), mustParse(c.b)) {
				got = append(got, change.String())
			}
			So(got, ShouldResemble, c.want)
		})
	}
}

// FuzzParse guards against texts that crash the parser, and against accepted sets in
// which a lookup fails.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("kind: limit\nname: l\nrate: 1\nparent: l\n"))
	f.Add([]byte("kind: pool\nname: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Parse(File{Name: "f", Data: data})
		if err != nil {
			var errs Errors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("want a non-empty Errors, got %v", err)
			}
			return
		}
		for _, s := range append(set.Services(), Service{Name: "other"}) {
			for _, team := range append(set.Teams(), Team{}) {
				e := set.Explain(s.Name, team.Name)
				if e.Pool.Name == "" || len(e.Reasons) == 0 {
					t.Fatalf("no pool or no reason for service %q, team %q", s.Name, team.Name)
				}
			}
		}
		if d := Diff(set, set); len(d) > 0 {
			t.Fatalf("diff of a set with itself is not empty: %v", d)
		}
	})
}

func ExampleParse() {
	set, err := Parse(File{Name: "checks.yaml", Data: []byte(`
kind: pool
name: checks
---
kind: service
name: stock-check
pool: checks
run-time: 80ms
`)})
	fmt.Println(set.Route("stock-check", "shop").Pool().Name, err)

	_, err = Parse(File{Name: "checks.yaml", Data: []byte("kind: pool\nname: checks\nplacment: random\n")})
	fmt.Println(err)
	// Output:
	// checks <nil>
	// checks.yaml:3: pool checks: unknown key "placment", nearest is "placement"
}

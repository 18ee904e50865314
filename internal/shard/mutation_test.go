package shard

import (
	"math/rand/v2"
	"testing"
)

// Guards against a checker that cannot fail: each rule that is switched off
// must lead to a violation. The faults are those that the rule is meant for.
func TestCheckerNoticesMissingRules(t *testing.T) {
	for name, tt := range map[string]struct {
		prepare func(*world)
		faults  []string
	}{
		"fencing off": {func(w *world) { w.noFencing = true }, []string{"isolate entry", "pause", "heal links"}},
		"wait of L + C off": {func(w *world) { w.mutation.noTimeRule = true },
			[]string{"isolate entry", "cut agent", "log lost to an entry", "heal links", "heal log"}},
		"roster rule off": {func(w *world) { w.mutation.noRoster = true },
			[]string{"new agent at an entry without log", "kill entry", "isolate entry", "heal links"}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(500) {
				plan := planOf(seed, tt.faults)
				if w := simulate(seed, 3, plan, tt.prepare); w.violation != "" {
					t.Logf("seed %d %s", seed, w.violation)
					if w := simulate(seed, 3, plan, nil); w.violation != "" {
						t.Fatalf("with all rules on: %s", w.violation)
					}
					return
				}
			}
			t.Fatal("no violation in 500 runs")
		})
	}
}

// planOf draws 8 of the named faults.
func planOf(seed uint64, names []string) []int {
	r := rand.New(rand.NewPCG(seed, 2))
	var plan []int
	for range 8 {
		name := names[r.IntN(len(names))]
		for i, f := range faults {
			if f.name == name {
				plan = append(plan, i)
			}
		}
	}
	return plan
}

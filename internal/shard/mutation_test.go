package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// randomPlan returns the faults of one run.
func randomPlan(seed uint64) []int {
	r := rand.New(rand.NewPCG(seed, 2))
	plan := make([]int, 3+r.IntN(12))
	for i := range plan {
		plan[i] = r.IntN(len(faults))
	}
	return plan
}

// firstViolation returns the first violation of up to n runs.
func firstViolation(n uint64, prepare func(*world)) string {
	for seed := range n {
		if w := simulate(seed, 2+int(seed%3), randomPlan(seed), prepare); w.violation != "" {
			return fmt.Sprintf("seed %d %s", seed, w.violation)
		}
	}
	return ""
}

// Guards against a checker that cannot fail: each rule that is switched off
// must lead to a violation.
func TestCheckerNoticesMissingRules(t *testing.T) {
	for name, prepare := range map[string]func(*world){
		"fencing off":       func(w *world) { w.noFencing = true },
		"wait of L + C off": func(w *world) { w.mutation.noTimeRule = true },
		"roster rule off":   func(w *world) { w.mutation.noRoster = true },
	} {
		t.Run(name, func(t *testing.T) {
			v := firstViolation(1000, prepare)
			if v == "" {
				t.Fatal("no violation in 1000 runs")
			}
			t.Log(v)
		})
	}
}

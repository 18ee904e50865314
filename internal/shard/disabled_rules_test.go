package shard

import (
	"math/rand/v2"
	"testing"
)

// Guards against a simulation that cannot detect violations: switching off a rule
// must lead to a violation under the faults that the rule protects against.
func TestSimulationDetectsDisabledRules(t *testing.T) {
	for name, tt := range map[string]struct {
		prepare func(*simulation)
		faults  []string
	}{
		"fencing off": {func(sim *simulation) { sim.fencingOff = true }, []string{"isolate entry", "pause", "heal links"}},
		"wait of L + C off": {func(sim *simulation) { sim.disabled.settlementWait = true },
			[]string{"isolate entry", "cut agent", "cut entry from log", "heal links", "heal log"}},
		"roster rule off": {func(sim *simulation) { sim.disabled.rosterRule = true },
			[]string{"new agent at an entry cut from log", "kill entry", "isolate entry", "heal links"}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(500) {
				plan := randomPlan(seed, tt.faults)
				if sim := simulate(seed, 3, plan, tt.prepare); sim.violation != "" {
					t.Logf("seed %d %s", seed, sim.violation)
					if sim := simulate(seed, 3, plan, nil); sim.violation != "" {
						t.Fatalf("with all rules on: %s", sim.violation)
					}
					return
				}
			}
			t.Fatal("no violation in 500 runs")
		})
	}
}

// randomPlan draws 8 faults from the named ones and returns their indexes.
func randomPlan(seed uint64, names []string) []int {
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

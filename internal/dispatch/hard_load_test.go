package dispatch

import (
	"fmt"
	"math"
	"testing"
)

// hardBursts are the bursts of the load described in docs/hard-load.md, which begin after one
// second: the factor by kind, and for how many seconds.
var hardBursts = map[string]func(kind string, second float64) float64{
	"none":  nil,
	"long":  burst(2.2, 6, "long"),
	"short": burst(1.7, 3, "short"),
	"all":   burst(1.7, 3, ""),
}

// burst multiplies the arrivals of a kind, or of all kinds if it is "".
func burst(factor, seconds float64, kind string) func(string, float64) float64 {
	return func(k string, second float64) float64 {
		if second >= 1 && second < 1+seconds && (kind == "" || kind == k) {
			return factor
		}
		return 1
	}
}

// simulateHardLoad simulates the load described in docs/hard-load.md. The load is relative to
// the capacity that is left with a quarter of the workers at 0.55 of the speed.
func simulateHardLoad(load float64, name string, seconds float64, seed uint64) simResult {
	const usable = 0.75 + 0.25*0.55
	sim := newSimulation(simConfig{
		seed: seed, entries: 8, workers: 53, seconds: seconds, load: constantLoad(load * usable), burst: hardBursts[name],
		cores: 2500, widthSpread: 0.6, capacities: []int64{32000, 32000, 32000, 32000, 48000},
		slowness: func(worker int) float64 {
			if worker%4 == 1 {
				return 1 / 0.55
			}
			return 1
		},
		arrivals: []float64{3, 2, 2, 1, 1, 1, 0.5, 0.5},
	})
	// The entries have learned the speeds long before a burst, which takes about 5 s.
	for _, e := range sim.entries {
		for i, a := range sim.agents {
			e.ensureWorker(a.id).learned = learnedSlowness{workerIncarnation: incarnationOf(i), logSlowness: math.Log(a.slowness)}
		}
	}
	return sim.run()
}

// BenchmarkHardLoad reports the service to callers by load and burst.
func BenchmarkHardLoad(b *testing.B) {
	for _, c := range []struct {
		load  float64
		burst string
	}{{0.7, "none"}, {0.85, "none"}, {1, "none"}, {1.2, "none"}, {0.85, "long"}, {0.85, "short"}, {0.85, "all"}} {
		b.Run(fmt.Sprint("load-", c.load, "/burst-", c.burst), func(b *testing.B) {
			var sum simResult
			worst, kinds := 0.0, make(map[string]float64)
			for i := range b.N {
				r := simulateHardLoad(c.load, c.burst, 6, uint64(i))
				sum.value += r.value
				sum.earned += r.earned
				worst += r.worstSecond / float64(b.N)
				for name, k := range r.kinds {
					kinds[name] += k.all / float64(b.N)
					kinds[name+"-largest-tenth"] += k.largest / float64(b.N)
					kinds[name+"-fifth-below"] += k.large / float64(b.N)
				}
			}
			b.ReportMetric(sum.valueShare(), "value-share")
			b.ReportMetric(worst, "worst-second")
			for name, share := range kinds {
				b.ReportMetric(share, name)
			}
		})
	}
}

package placement

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// misplacedFraction simulates a minute of 4 homes that share agents with 8 slots. The first
// home has more than half of the demand. An agent reports its load to a home with each
// result and every 200 ms. The function returns the fraction of tasks that were sent to a
// full agent while another agent had a free slot.
func misplacedFraction(staleLoad string, scanLimit, agents int, load float64) float64 {
	const homes, slots, meanRunTime = 4, 8, 250
	type taskEnd struct {
		home, agent int
		task        *gypsumtide.Task
	}
	rng := rand.New(rand.NewPCG(7, 7))
	views, placers := make([][]*gypsumtide.AgentView, homes), make([]gypsumtide.Placer, homes)
	for i := range homes {
		placers[i], _ = New(BelievedFree, Options{StaleLoad: staleLoad, ScanLimit: scanLimit, Seed: uint64(i + 1)})
		for range agents {
			views[i] = append(views[i], gypsumtide.NewAgentView("", "", "", slots, 0, gypsumtide.Size{}))
		}
	}
	// open counts the tasks at each agent by home; the last element is the total.
	open := make([][homes + 1]int, agents)
	ends := map[gypsumtide.Millis][]taskEnd{}
	tasks, misplaced := 0, 0
	for now := gypsumtide.Millis(1); now <= 60_000; now++ {
		report := func(home, agent int) {
			views[home][agent].Report(gypsumtide.Load{Running: open[agent][homes], FromPeer: open[agent][home]}, now)
		}
		for _, e := range ends[now] {
			open[e.agent][e.home]--
			open[e.agent][homes]--
			views[e.home][e.agent].Release(e.task)
			report(e.home, e.agent)
		}
		delete(ends, now)
		for i := range agents {
			for home := 0; (now+gypsumtide.Millis(17*i))%200 == 0 && home < homes; home++ {
				report(home, i)
			}
		}
		rate := load * float64(agents) * slots / meanRunTime
		for rng.Float64() < rate/(1+rate) {
			home := rng.IntN(homes) * rng.IntN(2)
			t := newTask(gypsumtide.ClassShort, 0)
			agent := placers[home].Place(t, views[home], now).AgentIndex()
			if agent < 0 {
				continue
			}
			tasks++
			free := false
			for _, counts := range open {
				free = free || counts[homes] < slots
			}
			if free && open[agent][homes] >= slots {
				misplaced++
			}
			views[home][agent].Assign(t)
			open[agent][home]++
			open[agent][homes]++
			end := now + gypsumtide.Millis(50+rng.ExpFloat64()*(meanRunTime-50))
			ends[end] = append(ends[end], taskEnd{home: home, agent: agent, task: t})
		}
	}
	return float64(misplaced) / float64(tasks)
}

// Guards against homes that rely on stale reports and therefore choose the same agents.
// With StaleLoadMean fewer tasks must go to full agents than with StaleLoadRaw, and with a
// scan of all agents fewer than with random pairs.
func TestStaleLoadMean(t *testing.T) {
	Convey("Fewer tasks go to a full agent while a slot is free", t, func() {
		So(misplacedFraction(StaleLoadMean, 16, 11, 0.7), ShouldBeLessThan, misplacedFraction(StaleLoadRaw, 16, 11, 0.7)/2)
		So(misplacedFraction(StaleLoadMean, 256, 60, 0.7), ShouldBeLessThan, misplacedFraction(StaleLoadMean, 16, 60, 0.7)/10)
	})
}

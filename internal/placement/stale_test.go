package placement

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// runStale lets 4 homes, the first with more than half of the demand, share
// agents with 8 slots for a minute. An agent reports its load to a home with
// each result and every 200 ms. It returns the part of tasks that were sent to
// a full agent while another had a free slot.
func runStale(stale string, scanLimit, agents int, load float64) float64 {
	const homes, slots, meanRun = 4, 8, 250
	type ending struct {
		home, agent int
		task        *gypsumtide.Task
	}
	rng := rand.New(rand.NewPCG(7, 7))
	views, placers := make([][]*gypsumtide.AgentView, homes), make([]gypsumtide.Placer, homes)
	for i := range homes {
		placers[i], _ = New(BelievedFree, Options{StaleLoad: stale, ScanLimit: scanLimit, Seed: uint64(i + 1)})
		for range agents {
			views[i] = append(views[i], gypsumtide.NewAgentView("", "", "", slots, 0, gypsumtide.Size{}))
		}
	}
	// held counts the tasks at each agent by home, and all of them last.
	held := make([][homes + 1]int, agents)
	ends := map[gypsumtide.Millis][]ending{}
	tasks, waited := 0, 0
	for now := gypsumtide.Millis(1); now <= 60_000; now++ {
		report := func(home, agent int) {
			views[home][agent].Report(gypsumtide.Load{Running: held[agent][homes], FromPeer: held[agent][home]}, now)
		}
		for _, e := range ends[now] {
			held[e.agent][e.home]--
			held[e.agent][homes]--
			views[e.home][e.agent].Release(e.task)
			report(e.home, e.agent)
		}
		delete(ends, now)
		for i := range agents {
			for home := 0; (now+gypsumtide.Millis(17*i))%200 == 0 && home < homes; home++ {
				report(home, i)
			}
		}
		rate := load * float64(agents) * slots / meanRun
		for rng.Float64() < rate/(1+rate) {
			home := rng.IntN(homes) * rng.IntN(2)
			t := newTask(gypsumtide.ClassShort, 0)
			agent := placers[home].Place(t, views[home], now).Agent()
			if agent < 0 {
				continue
			}
			tasks++
			free := false
			for _, h := range held {
				free = free || h[homes] < slots
			}
			if free && held[agent][homes] >= slots {
				waited++
			}
			views[home][agent].Assign(t)
			held[agent][home]++
			held[agent][homes]++
			end := now + gypsumtide.Millis(50+rng.ExpFloat64()*(meanRun-50))
			ends[end] = append(ends[end], ending{home: home, agent: agent, task: t})
		}
	}
	return float64(waited) / float64(tasks)
}

// Guards against trust in stale reports that makes homes choose the same
// agents: the blend with the mean must gain over the raw reports, and all
// candidates over pairs.
func TestStaleMeanGains(t *testing.T) {
	Convey("Fewer tasks go to a full agent while a slot is free", t, func() {
		So(runStale(StaleLoadMean, 16, 11, 0.7), ShouldBeLessThan, runStale(StaleLoadRaw, 16, 11, 0.7)/2)
		So(runStale(StaleLoadMean, 256, 60, 0.7), ShouldBeLessThan, runStale(StaleLoadMean, 16, 60, 0.7)/10)
	})
}

package stored

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"gypsumtide"
)

// Durations of a simulation, and numbers of seeds.
const (
	simFaultTime gypsumtide.Millis = 20_000
	simDrainTime gypsumtide.Millis = 30_000
	simSeeds                       = 60
	// simMutationSeeds is several times the number of seeds that it takes to detect a
	// mutation.
	simMutationSeeds = 400
)

// submitJobs submits and cancels jobs until the faults stop.
func (s *simulation) submitJobs() {
	n := 0
	interval := gypsumtide.Millis(40)
	if s.ephemeral {
		interval = 400
	}
	s.every(interval, func() bool {
		n++
		request := gypsumtide.JobRequest{ID: fmt.Sprintf("%016x", n), Spec: "x", Steps: []gypsumtide.JobStep{{
			Tasks: 1 + s.random.IntN(3), Size: gypsumtide.Size{Processors: 900}, Estimate: 150,
		}}}
		if s.random.IntN(3) == 0 {
			second := request.Steps[0]
			second.After = []int{0}
			request.Steps = append(request.Steps, second)
		}
		j := &simJob{request: request}
		s.jobs[request.ID] = j
		if e := s.entries[s.random.IntN(simHosts)]; e != nil && e.running() {
			e.submit(j)
			e.act()
		}
		if s.random.IntN(8) == 0 {
			s.schedule(s.randomBetween(1, 600), func() { s.cancel(j) })
		}
		return !s.faultsStopped
	})
}

func (s *simulation) cancel(j *simJob) {
	for _, e := range s.entries {
		if e != nil && e.running() {
			e.cancel(j)
			e.act()
		}
	}
}

// injectFaults injects faults at random intervals until faultsStopped is set. A fault may
// begin before the previous one is over.
func (s *simulation) injectFaults() {
	s.schedule(s.randomBetween(50, 500), func() {
		if s.faultsStopped {
			return
		}
		s.injectFault()
		s.injectFaults()
	})
}

func (s *simulation) injectFault() {
	i, j := s.random.IntN(simHosts), s.random.IntN(simHosts)
	switch s.random.IntN(10) {
	case 0:
		s.killEntry(i)
	case 1:
		s.killAgent(i)
	case 2:
		s.workers[i].restart()
	case 3, 4:
		l := s.links[i][j]
		l.toEntryCutUntil = s.now + s.randomBetween(50, 2500)
		l.toAgentCutUntil = l.toEntryCutUntil
	case 5:
		if a := s.agents[i]; a != nil {
			a.pausedUntil = s.now + s.randomBetween(50, 2500)
		}
	case 6:
		if e := s.entries[i]; e != nil {
			e.pausedUntil = s.now + s.randomBetween(50, 2500)
		}
	case 7:
		// The log reassigns the partition without a handover.
		if e := s.entries[i]; e != nil {
			s.partitionOwner, s.ownedUntil = e.name, s.now+membershipTTL
			s.log.generation++
		}
	case 8:
		s.logUnreachableUntil[i] = s.now + s.randomBetween(100, 4000)
	case 9:
		w := s.workers[i]
		w.answerLossProbability, w.delayProbability = 0.3*s.random.Float64(), 0.5*s.random.Float64()
		s.schedule(s.randomBetween(300, 2000), func() { w.answerLossProbability, w.delayProbability = 0, 0 })
	}
}

func (s *simulation) killEntry(i int) {
	if s.entries[i] == nil {
		return
	}
	s.entries[i] = nil
	s.schedule(s.randomBetween(30, 1500), func() { s.startEntry(i) })
}

func (s *simulation) killAgent(i int) {
	if s.agents[i] == nil {
		return
	}
	s.agents[i] = nil
	s.schedule(s.randomBetween(30, 1500), func() { s.startAgent(i) })
}

// simulate runs the simulation of a seed and returns it after the final checks.
func simulate(seed uint64, mutation simMutation) *simulation {
	return newSimulation(seed, mutation).run()
}

// run runs the simulation and the final checks.
func (s *simulation) run() *simulation {
	for i := range simHosts {
		for j := range simHosts {
			l := s.links[i][j]
			s.every(40, func() bool { l.connect(); return true })
			s.every(100, func() bool { l.exchangeHeartbeats(); return true })
			s.every(20, func() bool { l.closeLostSessions(); return true })
		}
	}
	s.submitJobs()
	s.injectFaults()
	if s.ephemeral {
		s.submitEphemeralJobs()
		s.injectSlowness()
	}
	s.runUntil(simFaultTime)
	s.faultsStopped = true
	s.runUntil(simFaultTime + simDrainTime)
	s.checkEnds()
	return s
}

// logFirstViolation logs the runs of the task of the first violation, and the log lines
// that name this task or no job. It does nothing unless log lines are kept. Since the
// iteration order of maps differs, a seed may have to be run several times until its
// violation occurs again.
func (s *simulation) logFirstViolation(t *testing.T) {
	if len(s.violations) == 0 || !s.keepLogLines {
		return
	}
	for task, runs := range s.runs {
		if !strings.Contains(s.violations[0], task.String()) {
			continue
		}
		for _, r := range runs {
			t.Logf("%v run %d at worker %d from %d to %d: %s, acknowledged: %v", task, r.number, r.worker, r.startedAt, r.endedAt, r.kind, r.acknowledged)
		}
		for _, line := range s.logLines {
			if strings.Contains(line, task.String()) || !strings.Contains(line, task.Job[:4]) {
				t.Log(line)
			}
		}
		return
	}
}

// simulationSeeds returns the number of seeds to run.
func simulationSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("GYPSUMTIDE_SIMULATION_SEEDS")); err == nil {
		return n
	}
	return simSeeds
}

// Guards against concurrent runs of a task, runs that start after an acknowledged end
// or after the cancellation of their job, and accepted jobs that are lost or never
// end, in interleavings that are rare with real processes. GYPSUMTIDE_SIMULATION_SEEDS
// sets the number of seeds; GYPSUMTIDE_SIMULATION_LINES, if not empty, logs the details of
// the first violation of each seed.
func TestSimulation(t *testing.T) {
	seeds := simulationSeeds()
	accepted, runs, events := 0, 0, 0
	for seed := range seeds {
		s := simulate(uint64(seed), noMutation)
		for _, v := range s.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		s.logFirstViolation(t)
		for _, j := range s.jobs {
			if j.accepted {
				accepted++
			}
		}
		for _, r := range s.runs {
			runs += len(r)
		}
		events += s.eventCount
	}
	t.Logf("%d seeds, %d accepted jobs, %d runs, %d events", seeds, accepted, runs, events)
	if accepted == 0 {
		t.Error("no job was accepted")
	}
}

// Guards against checks of the simulation that miss violations: with any one of the safety
// mechanisms disabled, they must report one.
func TestSimulationMutations(t *testing.T) {
	for name, mutation := range map[string]simMutation{
		"workers ignore fencing tokens":                  noWorkerFencing,
		"ends are acknowledged before they are recorded": earlyAcknowledgement, "the next owner does not wait": noOwnerWait,
		"the log accepts appends of former owners": noLogFencing,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range simMutationSeeds {
				if v := simulate(uint64(seed), mutation).violations; len(v) > 0 {
					t.Logf("seed %d: %s", seed, v[0])
					return
				}
			}
			t.Errorf("no violation in %d seeds", simMutationSeeds)
		})
	}
}

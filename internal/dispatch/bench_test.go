package dispatch

import (
	"fmt"
	"testing"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// BenchmarkJob measures the processing of a job of 5 tasks from submission to answer.
func BenchmarkJob(b *testing.B) {
	for _, workers := range []int{11, 60, 600, 3000} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			s := newTestState(workers)
			n := 0
			for b.Loop() {
				n++
				s.Submit(gypsumtide.Millis(n), submission(fmt.Sprintf("%016x", n), 5, 50, 0))
				reportAll(s, gypsumtide.Millis(n), orderedRuns(s.TakeEffects()), wire.RunReport{End: gypsumtide.EndDone, RunTime: 50})
				s.TakeEffects()
			}
		})
	}
}

// BenchmarkLoadFrame measures the encoding, decoding and processing of a load report.
func BenchmarkLoadFrame(b *testing.B) {
	s := newTestState(1)
	f := &wire.Frame{Clock: 1, Echo: 1, WorkerLoad: loadReport(8000)}
	f.WorkerLoad.Waiting = []wire.WaitingLoad{{Priority: 1, Size: wire.SizeArray{Processors: 1600, Memory: 64}}}
	data, err := wire.Marshal(f)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		data, err := wire.Marshal(f)
		if err != nil {
			b.Fatal(err)
		}
		var g wire.Frame
		if err := wire.Unmarshal(data, &g); err != nil {
			b.Fatal(err)
		}
		s.UpdateLoad(1, workerID(0), g.WorkerLoad)
	}
}

// BenchmarkPlacement measures the choice of a worker among 64 for one task, in ordinary times,
// while a quarter of them is evacuated, and during the slow start of these.
func BenchmarkPlacement(b *testing.B) {
	const workers = 64
	evacuated := gypsumtide.Evacuations{Version: 1, Zones: []string{"a"}}
	for name, prepare := range map[string]func(s *State){
		"ordinary":  func(*State) {},
		"evacuated": func(s *State) { s.SetEvacuations(0, evacuated) },
		"slow-start": func(s *State) {
			s.SetEvacuations(0, evacuated)
			s.SetEvacuations(0, gypsumtide.Evacuations{Version: 2})
		},
	} {
		b.Run(name, func(b *testing.B) {
			s := newTestState(workers)
			for i := range workers / 4 {
				s.UpdateWorker(0, workerID(i), zoneReport(i, "a"))
			}
			prepare(s)
			s.Submit(0, submission("a", 1, 50, 0))
			t := s.jobs["a"].tasks[0]
			for b.Loop() {
				if c := s.choose(0, t); c.worker == nil {
					b.Fatal("no worker")
				}
			}
		})
	}
}

// BenchmarkChoosePlace measures the choice of a worker among 64 for a task without a rack, for
// one whose rack is idle, and for one whose rack is full of this entry's runs.
func BenchmarkChoosePlace(b *testing.B) {
	for _, name := range []string{"no-rack", "idle-rack", "full-rack"} {
		b.Run(name, func(b *testing.B) {
			racks := make([]string, 64)
			for i := range racks {
				racks[i] = fmt.Sprint("x-", i/8)
			}
			for i := range 8 {
				racks[i] = "r"
			}
			s := newRackState(racks...)
			if name == "full-rack" {
				s.Submit(0, rackSubmission("full", 80, 50))
			}
			sub := rackSubmission("a", 32, 50)
			if name == "no-rack" {
				sub.Job.Steps[0].Rack = ""
			}
			t := newJob(0, sub).tasks[0]
			for b.Loop() {
				s.choosePlace(1, t)
			}
		})
	}
}

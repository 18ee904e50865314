package stored

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
)

// cpuTime returns the CPU time of the process in seconds.
func cpuTime() float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

// BenchmarkPartitionManager measures the acceptance of jobs of 8 tasks and the calls of
// Record with the ends of their tasks, with a log of 32 partitions and 4 ms per append. It
// does not wait until the last ends are in the log.
func BenchmarkPartitionManager(b *testing.B) {
	const tasks = 8
	for _, callers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("callers-", callers), func(b *testing.B) {
			log := newMemoryLog()
			log.partitionCount, log.appendDelay = 32, 4
			owner := startOwner(b, log, "one")
			var lastJob atomic.Int64
			var callerGroup sync.WaitGroup
			appendsBefore, cpuBefore := log.appends(), cpuTime()
			b.ResetTimer()
			for range callers {
				callerGroup.Add(1)
				go func() {
					defer callerGroup.Done()
					for n := lastJob.Add(1); n <= int64(b.N); n = lastJob.Add(1) {
						runJob(b, owner, fmt.Sprintf("%016x", n), tasks)
					}
				}()
			}
			callerGroup.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
			b.ReportMetric(float64(log.appends()-appendsBefore)/float64(b.N), "appends/job")
			b.ReportMetric(1e6*(cpuTime()-cpuBefore)/float64(b.N), "cpu-us/job")
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/float64(b.N), "heap-bytes/job")
			owner.stop()
		})
	}
}

// runJob submits a job and ends its tasks at once.
func runJob(b *testing.B, owner *testManager, id string, tasks int) {
	j := newJob(gypsumtide.JobRequest{ID: id, Spec: "s", Steps: []gypsumtide.JobStep{{Tasks: tasks}}}, gypsumtide.QueueRoute{Name: "r"}, 0)
	if err := owner.Submit(b.Context(), j.request, j.route); err != nil {
		b.Error(err)
		return
	}
	var p dispatch.Progress
	for i := range tasks {
		p.Ends = append(p.Ends, taskEnd(id, 0, i, gypsumtide.EndDone))
	}
	owner.Record(p)
}

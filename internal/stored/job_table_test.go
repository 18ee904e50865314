package stored

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
	"gypsumtide/internal/wire"
)

// testJob returns a job whose first step has the given number of tasks, and whose second
// step has one task and starts after the first. Each task has two attempts.
func testJob(id string, tasks int) *job {
	return newJob(gypsumtide.JobRequest{ID: id, Spec: "s", Steps: []gypsumtide.JobStep{{Tasks: tasks}, {Tasks: 1, After: []int{0}}}},
		gypsumtide.QueueRoute{Name: "r", Attempts: 2}, 100)
}

func taskEnd(id string, step, index int, kind gypsumtide.EndKind) dispatch.TaskEnd {
	return dispatch.TaskEnd{Ref: gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: id, Step: step, Index: index}, Number: 1}, Kind: kind}
}

// applyRecords applies records to the values of a partition.
func applyRecords(values map[string][]byte, records []gypsumtide.KeyedRecord) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(values, r.Key)
			continue
		}
		values[r.Key] = r.Value
	}
}

// Guards against a job whose state differs from its records, so that the next owner loses
// ends of tasks, repeats run numbers, or cannot take over the partition.
func TestJobTable(t *testing.T) {
	Convey("Given an accepted job", t, func() {
		table, values := newJobTable(), make(map[string][]byte)
		j := testJob("a", 2)
		records, err := table.accept(j)
		So(err, ShouldBeNil)
		applyRecords(values, records)
		end := func(step, index int, kind gypsumtide.EndKind) gypsumtide.JobState {
			records, state, err := table.end(200, taskEnd("a", step, index, kind))
			So(err, ShouldBeNil)
			applyRecords(values, records)
			return state
		}

		Convey("It is complete when its last task is done", func() {
			So(end(0, 0, gypsumtide.EndDone), ShouldBeEmpty)
			So(end(0, 0, gypsumtide.EndDone), ShouldBeEmpty)
			So(end(1, 0, gypsumtide.EndDone), ShouldBeEmpty)
			So(j.isFinal(), ShouldBeFalse)
			So(end(0, 1, gypsumtide.EndDone), ShouldEqual, gypsumtide.JobComplete)
			Convey("and shown as complete only once that is recorded", func() {
				So(j.isFinal(), ShouldBeFalse)
				table.finalize(j, gypsumtide.JobComplete, 200)
				So(j.isFinal(), ShouldBeTrue)
				So(table.inProgressCount, ShouldEqual, 0)
				So(values, ShouldHaveLength, 1)
				applyRecords(values, table.expire(200))
				So(values, ShouldHaveLength, 1)
				applyRecords(values, table.expire(201))
				So(values, ShouldBeEmpty)
			})
		})

		// Guards against checkpoints that are lost with the owner, and against more appends than
		// the log permits.
		Convey("Its checkpoints are recorded once a second and reach the next owner", func() {
			checkpoint := func(now gypsumtide.Millis, index int, data string) int {
				name := gypsumtide.TaskName{Job: "a", Index: index}
				records, err := table.checkpoint(now, dispatch.TaskCheckpoint{Task: name, Data: data, Percent: 40})
				So(err, ShouldBeNil)
				applyRecords(values, records)
				return len(records)
			}
			recorded := func() []dispatch.TaskRecord {
				next, _, errs := recoverJobTable(values)
				So(errs, ShouldBeEmpty)
				return next.jobs["a"].storedJob(0).Tasks
			}
			So(checkpoint(2000, 0, "one"), ShouldEqual, 1)
			So(checkpoint(2500, 1, "two"), ShouldEqual, 0)
			So(recorded()[0], ShouldResemble, dispatch.TaskRecord{Checkpoint: "one", CheckpointPercent: 40})
			So(recorded()[1], ShouldResemble, dispatch.TaskRecord{})
			So(checkpoint(3000, 0, "three"), ShouldEqual, 1)
			So(recorded()[0].Checkpoint, ShouldEqual, "three")
			So(recorded()[1].Checkpoint, ShouldEqual, "two")
			Convey("without those of tasks that are done or start anew", func() {
				end(0, 0, gypsumtide.EndDone)
				So(checkpoint(4000, 0, "late"), ShouldEqual, 0)
				So(checkpoint(4000, 1, ""), ShouldEqual, 1)
				So(recorded()[0], ShouldResemble, dispatch.TaskRecord{Done: true})
				So(recorded()[1], ShouldResemble, dispatch.TaskRecord{})
				So(j.checkpointBytes, ShouldEqual, 0)
			})
			Convey("and no more bytes than the record may hold", func() {
				checkpoint(5000, 0, strings.Repeat("x", maxJobCheckpointBytes-3))
				checkpoint(7000, 1, "more")
				So(recorded()[0].Checkpoint, ShouldHaveLength, maxJobCheckpointBytes-3)
				So(recorded()[1].Checkpoint, ShouldEqual, "two")
			})
		})

		Convey("It fails when a task has used up its attempts, counted over all owners", func() {
			So(end(0, 1, gypsumtide.EndFailed), ShouldBeEmpty)
			So(end(0, 0, gypsumtide.EndFailed), ShouldBeEmpty)
			next, records, errs := recoverJobTable(values)
			So(errs, ShouldBeEmpty)
			applyRecords(values, records)
			table = next
			So(end(0, 1, gypsumtide.EndFailed), ShouldEqual, gypsumtide.JobFailed)
			So(end(0, 0, gypsumtide.EndFailed), ShouldBeEmpty)
		})

		Convey("The next owner restores what is recorded, and uses higher run numbers", func() {
			end(0, 1, gypsumtide.EndDone)
			end(0, 0, gypsumtide.EndFailed)
			next, records, errs := recoverJobTable(values)
			So(errs, ShouldBeEmpty)
			applyRecords(values, records)
			stored := next.jobs["a"].storedJob(7)
			So(stored.Tasks, ShouldResemble, []dispatch.TaskRecord{{Failures: 1}, {Done: true}, {}})
			So(stored.NotBefore, ShouldEqual, 7)
			So(stored.BaseRunNumber, ShouldEqual, runNumbersPerOwner)
			So(stored.Job.Steps[1].After, ShouldResemble, []int{0})
			So(next.jobs["a"].state, ShouldEqual, gypsumtide.JobRunning)
			So(next.inProgressCount, ShouldEqual, 1)
			third, _, _ := recoverJobTable(values)
			So(third.jobs["a"].storedJob(0).BaseRunNumber, ShouldEqual, 2*runNumbersPerOwner)
		})

		Convey("A final state is kept when the owner changes", func() {
			records, state, err := table.close(300, j, gypsumtide.JobCancelled)
			So(err, ShouldBeNil)
			So(state, ShouldEqual, gypsumtide.JobCancelled)
			applyRecords(values, records)
			So(end(0, 0, gypsumtide.EndDone), ShouldBeEmpty)
			next, records, _ := recoverJobTable(values)
			So(records, ShouldBeEmpty)
			So(next.jobs["a"].state, ShouldEqual, gypsumtide.JobCancelled)
			So(next.inProgressJobs(), ShouldBeEmpty)
		})

		Convey("Ends of unknown tasks change nothing", func() {
			for _, e := range []dispatch.TaskEnd{
				taskEnd("a", 2, 0, gypsumtide.EndDone), taskEnd("a", 0, 2, gypsumtide.EndDone), taskEnd("a", -1, 0, gypsumtide.EndDone),
				taskEnd("a", 0, -1, gypsumtide.EndDone), taskEnd("b", 0, 0, gypsumtide.EndDone),
			} {
				records, state, err := table.end(1, e)
				So(records, ShouldBeEmpty)
				So(state, ShouldBeEmpty)
				So(err, ShouldBeNil)
			}
		})

		// Guards against a partition that is not served because one of its records cannot be
		// decoded or has another version.
		Convey("A record that cannot be read does not affect the other jobs", func() {
			values["b"] = []byte("junk")
			newer := j.record()
			newer.Version++
			r, err := encode("c", newer)
			So(err, ShouldBeNil)
			applyRecords(values, []gypsumtide.KeyedRecord{r})
			next, records, errs := recoverJobTable(values)
			So(errs, ShouldHaveLength, 2)
			So(next.jobs, ShouldHaveLength, 1)
			So(records, ShouldHaveLength, 1)
		})
	})

	Convey("A record with unknown fields is read", t, func() {
		data, err := wire.Marshal(map[int]any{1: recordVersion, 3: "s", 99: "later"})
		So(err, ShouldBeNil)
		r, err := decodeJob(data)
		So(err, ShouldBeNil)
		So(r.Spec, ShouldEqual, "s")
	})
}

// oddRecords returns job records that can be decoded, but that no entry writes.
func oddRecords() map[string]jobRecord {
	record := func(change func(r *jobRecord)) jobRecord {
		r := testJob("a", 2).record()
		change(&r)
		return r
	}
	step := func(s gypsumtide.JobStep) jobRecord {
		return record(func(r *jobRecord) { r.Steps = []gypsumtide.JobStep{{Tasks: 1}, s} })
	}
	return map[string]jobRecord{
		"negative tasks": step(gypsumtide.JobStep{Tasks: -5}),
		"too many tasks": step(gypsumtide.JobStep{Tasks: 1 << 62}),
		"sum overflows": record(func(r *jobRecord) {
			r.Steps = []gypsumtide.JobStep{{Tasks: math.MaxInt}, {Tasks: math.MaxInt}, {Tasks: 5}}
		}),
		"no tasks":              record(func(r *jobRecord) { r.Steps = nil }),
		"dependency on itself":  step(gypsumtide.JobStep{Tasks: 1, After: []int{1}}),
		"dependency is no step": step(gypsumtide.JobStep{Tasks: 1, After: []int{-7}}),
		"size overflows":        step(gypsumtide.JobStep{Tasks: 1, Size: gypsumtide.Size{Processors: math.MaxInt64}}),
		"negative size":         step(gypsumtide.JobStep{Tasks: 1, Size: gypsumtide.Size{Memory: -1}}),
		"estimate overflows":    step(gypsumtide.JobStep{Tasks: 1, Estimate: math.MaxInt64}),
		"slack is no number":    record(func(r *jobRecord) { r.Route.SlackFactor = math.NaN() }),
		"owner count overflows": record(func(r *jobRecord) { r.OwnerCount = math.MaxUint32 }),
		"unknown state":         record(func(r *jobRecord) { r.State = "asleep" }),
		"ended in the future":   record(func(r *jobRecord) { r.State, r.EndedAt = gypsumtide.JobComplete, math.MaxInt64 }),
	}
}

// Guards against an entry that ends whenever it takes over a partition with an odd record
// of another writer, as does the next owner after it.
func TestOddRecord(t *testing.T) {
	Convey("An odd record is skipped, and the job next to it is taken over", t, func() {
		good, err := encode("good", testJob("good", 2).record())
		So(err, ShouldBeNil)
		for name, r := range oddRecords() {
			odd, err := encode("odd", r)
			So(err, ShouldBeNil)
			Convey(name, func() {
				table, records, errs := recoverJobTable(map[string][]byte{"odd": odd.Value, "good": good.Value, "": {1}})
				So(errs, ShouldHaveLength, 2)
				So(records, ShouldHaveLength, 1)
				So(table.jobs, ShouldHaveLength, 1)
				So(table.jobs["good"].remaining, ShouldEqual, 3)
			})
		}
	})

	Convey("Records that are nested deeply, truncated or have a key twice are skipped", t, func() {
		good, err := encode("good", testJob("good", 2).record())
		So(err, ShouldBeNil)
		for _, data := range [][]byte{
			bytes.Repeat([]byte{0x81}, 1_000_000), append([]byte{0xa1, 0x04}, bytes.Repeat([]byte{0x81}, 1_000_000)...),
			good.Value[:len(good.Value)-3], {0xa2, 0x01, 0x01, 0x01, 0x01}, {}, {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		} {
			table, _, errs := recoverJobTable(map[string][]byte{"odd": data, "good": good.Value})
			So(errs, ShouldHaveLength, 1)
			So(table.jobs, ShouldHaveLength, 1)
		}
	})
}

// Guards against records that make the recovery of a partition panic or count tasks wrong.
func FuzzRecords(f *testing.F) {
	j := testJob("a", 3)
	for _, v := range []any{j.record(), j.progress(), j.finalRecord(gypsumtide.JobFailed, 5)} {
		r, err := encode("a", v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(r.Value, r.Value)
	}
	for _, v := range oddRecords() {
		r, err := encode("a", v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(r.Value, []byte{})
	}
	f.Add(bytes.Repeat([]byte{0x81}, 5000), []byte{0xa1, 0x03, 0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, record, progress []byte) {
		table, _, _ := recoverJobTable(map[string][]byte{"a": record, progressKey("a"): progress, ownerKey: progress})
		for _, j := range table.inProgressJobs() {
			if j.remaining < 0 || j.remaining > len(j.done) {
				t.Fatalf("%d of %d tasks remain", j.remaining, len(j.done))
			}
		}
	})
}

// Guards against two owners of a partition because a membership is considered valid for
// too long, or because an epoch is too low.
func TestMembership(t *testing.T) {
	Convey("The validity of a membership is counted from the time its join was sent", t, func() {
		m := membership{ttl: 1000}
		So(m.valid(0), ShouldBeFalse)
		m.applyJoinResult(100, gypsumtide.Assignment{Generation: 4, Partitions: []int{1, 3}})
		So(m.valid(999), ShouldBeTrue)
		So(m.valid(1000), ShouldBeFalse)
		So(m.isAssigned(3), ShouldBeTrue)
		So(m.isAssigned(2), ShouldBeFalse)
	})

	Convey("An answer older than the last one changes nothing", t, func() {
		m := membership{ttl: 1000}
		m.applyJoinResult(100, gypsumtide.Assignment{Generation: 4, Partitions: []int{1}})
		m.applyJoinResult(600, gypsumtide.Assignment{Generation: 3, Partitions: []int{2}})
		So(m.isAssigned(2), ShouldBeFalse)
		So(m.valid(1100), ShouldBeFalse)
	})

	// Guards against a former owner whose epoch is higher than that of the next owner
	// because it opened partitions more often.
	Convey("Epochs rise with the generation, whatever the open count", t, func() {
		older, newer := membership{generation: 4}, membership{generation: 5}
		So(newer.epoch(1), ShouldBeGreaterThan, older.epoch(1<<epochShift-1))
		So(older.epoch(2), ShouldBeGreaterThan, older.epoch(1))
	})
}

// Guards against exceeding the append rate of the log when many partitions have writes
// all the time.
func TestAppendInterval(t *testing.T) {
	Convey("All partitions together stay below the append rate of the log", t, func() {
		for _, c := range []struct {
			partitions int
			perSecond  float64
		}{{32, 800}, {32, 1500}, {4, 800}, {32, 0}} {
			interval := appendInterval(c.partitions, c.perSecond)
			rate := c.perSecond
			if rate == 0 {
				rate = defaultAppendsPerSecond
			}
			So(float64(c.partitions)*1000/float64(max(1, interval)), ShouldBeLessThan, rate)
		}
	})
}

var errTest = errors.New("test")

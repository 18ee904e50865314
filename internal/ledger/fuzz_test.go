package ledger

import (
	"testing"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// FuzzLedger guards against panics, second starts and starts under a fenced
// epoch. The operations come in any order, including orders that no correct home
// produces. An operation is four bytes: its kind, the submission and the task, the
// epoch, and the session; some kinds use them for other values.
func FuzzLedger(f *testing.F) {
	f.Add([]byte{0, 1, 1, 0, 0, 1, 1, 1, 0, 1, 1, 2})
	f.Add([]byte{0, 1, 1, 0, 4, 0, 2, 0, 0, 1, 1, 1, 5, 1, 3, 1, 3, 1, 1, 2})
	f.Add([]byte{6, 1, 1, 1, 0, 1, 1, 0, 7, 1, 1, 1, 8, 200, 200, 0, 2, 1, 1, 1})
	f.Fuzz(func(t *testing.T, ops []byte) {
		clock := &testClock{now: 1, wall: testWall}
		l := New(clock, testLimits)
		type key struct {
			id   gypsumtide.SubmissionID
			task uint32
		}
		started := map[key]bool{}
		for ; len(ops) >= 4; ops = ops[4:] {
			id := testID(testWall, uint32(ops[1]>>4&3))
			session := uint64(ops[3])
			ref := wire.TaskRef{Submission: id, Task: uint32(ops[1] & 3), Epoch: uint64(ops[2] & 7)}
			switch ops[0] % 10 {
			case 0:
				l.Accept(ref, session, "")
			case 1:
				if l.Start(ref) {
					if k := (key{id, ref.Task}); started[k] {
						t.Fatalf("%v starts twice", ref)
					} else if ref.Epoch < l.Epoch(id.Shard()) {
						t.Fatalf("%v starts below epoch %d", ref, l.Epoch(id.Shard()))
					} else {
						started[k] = true
					}
				}
			case 2, 3:
				s := wire.TaskState(ops[3]%4 + 1)
				if _, err := l.Finish(wire.Result{TaskRef: ref, State: s, Body: make([]byte, ops[2])}); err == nil && s == wire.TaskNotStarted {
					delete(started, key{id, ref.Task})
				}
			case 4:
				l.Fence(gypsumtide.ShardID(ops[1]), ref.Epoch)
			case 5:
				l.Recover(wire.RecoveryRequest{Submission: id, Epoch: ref.Epoch}, session)
			case 6:
				l.Query(ref, session)
			case 7:
				l.Withdraw(ref, session, wire.ReasonRecalled)
			case 8:
				clock.now += gypsumtide.Millis(ops[1]) * 100
				clock.wall += gypsumtide.Millis(ops[2]) * 1000
				l.Expire()
			case 9:
				l.Drop(ref, wire.ReasonDeadline)
			}
		}
	})
}

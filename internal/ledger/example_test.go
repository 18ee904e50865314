package ledger_test

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/ledger"
	"gypsumtide/internal/wire"
)

// ExampleLedger shows that a task starts only once, even if its dispatch is repeated.
func ExampleLedger() {
	l := ledger.New(gypsumtide.NewSystemClock(), ledger.Limits{IDRetention: 600_000, ResultRetention: 60_000, ResultBytes: 1 << 20})
	id, err := gypsumtide.NewSubmissionID()
	if err != nil {
		fmt.Println(err)
		return
	}
	ref := wire.TaskRef{Submission: id, Task: 0, Epoch: 1}
	const session = 1

	accepted, _, _ := l.Accept(ref, session, "")
	fmt.Println("accepted:", accepted)
	fmt.Println("started:", l.Start(ref))
	fmt.Println("started again:", l.Start(ref))

	accepted, answer, _ := l.Accept(ref, session, "")
	fmt.Println("accepted again:", accepted, answer.State)

	done, err := l.Finish(wire.Result{TaskRef: ref, State: wire.TaskDone, Status: 200})
	fmt.Println("finished:", done.Result().State, err)
	// Output:
	// accepted: true
	// started: true
	// started again: false
	// accepted again: false running
	// finished: done <nil>
}

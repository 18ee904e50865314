package queue_test

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/queue"
)

// Guards against a change of the order that callers rely on: short tasks before long
// ones, and teams in turn.
func ExampleNew() {
	q, err := queue.New(queue.Fair)
	if err != nil {
		fmt.Println(err)
		return
	}
	push := func(id byte, team string, class gypsumtide.Class) {
		for i := range uint32(2) {
			t := gypsumtide.NewTask(gypsumtide.SubmissionID{id}, i, "check", team, 2, 5000)
			t.SetClass(class)
			q.Push(t)
		}
	}
	push(1, "orders", gypsumtide.ClassLong)
	push(2, "stock", gypsumtide.ClassShort)
	push(3, "hints", gypsumtide.ClassShort)
	place := func(*gypsumtide.Task) bool { return true }
	for t := q.Pop(0, place); t != nil; t = q.Pop(0, place) {
		fmt.Println(t.Class(), t.Team())
	}
	// Output:
	// short stock
	// short hints
	// short stock
	// short hints
	// long orders
	// long orders
}

package limit_test

import (
	"fmt"

	"gypsumtide/internal/limit"
)

// Guards against a change of the refusal that callers see: the name of the
// exceeded limit and the reason.
func ExampleQuotas() {
	q, err := limit.NewQuotas(limit.Config{
		Limits: []limit.Limit{{Name: "consortium", Concurrency: 100}, {Name: "orders", Parent: "consortium", Rate: 50}},
		Teams:  map[string]string{"orders": "orders"},
	}, limit.Options{Home: "entry-1"}, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(q.Admit("orders", 40, 1).Admitted())
	decision := q.Admit("orders", 40, 1)
	fmt.Printf("%t: %s: %s\n", decision.Admitted(), decision.Limit(), decision.Reason())
	// Output:
	// true
	// false: orders: the rate is at its bound
}

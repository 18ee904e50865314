package limit

import (
	"fmt"
	"testing"
)

// Measures a quota admission, and a report interval with 5 other homes, for 390 teams.
func BenchmarkQuotas(b *testing.B) {
	q, err := NewQuotas(Config{Limits: []Limit{{Name: "all", Rate: 1e9}, {Name: "team", Parent: "all", Rate: 1e9, Concurrency: 1e9}}, Default: "team"}, Options{}, 1)
	if err != nil {
		b.Fatal(err)
	}
	for i := range 390 {
		q.Admit(fmt.Sprint(i), 10, 1)
	}
	b.Run("admit", func(b *testing.B) {
		for range b.N {
			q.Admit("1", 10, 2)
			q.Release("1", 10, 2)
		}
	})
	b.Run("interval", func(b *testing.B) {
		for range b.N {
			usage := q.NextReport(3)
			for i := range 5 {
				q.ApplyReport(fmt.Sprint("home-", i), usage, 3)
			}
		}
	})
}

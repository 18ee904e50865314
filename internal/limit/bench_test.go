package limit

import (
	"fmt"
	"testing"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Measures an admission by quota, and the exchange of a report interval with 5 other homes.
func BenchmarkQuotas(b *testing.B) {
	for _, teams := range []int{1, 390} {
		cfg := Config{Limits: []Limit{{Name: "org", Rate: 1e9}}, Teams: map[string]string{}}
		var names []string
		var usage []wire.TeamUsage
		for i := range teams {
			name := fmt.Sprint("team-", i)
			names = append(names, name)
			cfg.Limits = append(cfg.Limits, Limit{Name: name, Parent: "org", Rate: 1e9, Concurrency: 1e9})
			cfg.Teams[name] = name
			usage = append(usage, wire.TeamUsage{Team: name, Rate: 10, Demand: 20, Open: 5})
		}
		q, err := NewQuotas(cfg, Options{Seed: 1}, 1)
		if err != nil {
			b.Fatal(err)
		}
		for _, name := range names {
			q.Admit(name, 10, 1)
		}
		b.Run(fmt.Sprintf("admit/teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				name := names[i%teams]
				if q.Admit(name, 10, gypsumtide.Millis(2)).Admit() {
					q.Done(name, 10, 2)
				}
			}
		})
		b.Run(fmt.Sprintf("interval/teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				q.Usage(3)
				for i := range 5 {
					q.Report(fmt.Sprint("home-", i), usage, 3)
				}
			}
		})
	}
}

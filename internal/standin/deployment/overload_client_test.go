package deployment

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gypsumtide/internal/standin/crowd"
)

// Limits of TestClientsBeyondLimits. The memory is that of the smallest machine, for which the
// defaults of the settings are chosen; the descriptors are limited in the shell that starts the
// program. The number of clients of each case is chosen so that the program exceeded a limit
// before it had bounds on what clients send, except where the commit of this test says otherwise.
const (
	overloadMemoryMb = 184
	overloadMaxFds   = 512
	// overloadObservation is the time for which the process is observed beside the crowd before
	// the ordinary job is submitted, so that it reads what the crowd has sent.
	overloadObservation = 2 * time.Second
	// overloadAnswerTimeout is how long the test waits for the answer to an ordinary job. The job
	// is submitted again until then.
	overloadAnswerTimeout = 60 * time.Second
)

// buildLimitedPrograms builds the programs, and replaces the entry and the agent by scripts that
// limit their descriptors.
func buildLimitedPrograms(t *testing.T) string {
	bin := t.TempDir()
	for _, name := range Programs {
		if out, err := exec.Command("go", "build", "-o", bin+"/", "gypsumtide/cmd/"+name).CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
	for _, name := range []string{"gypsumtide-entry", "gypsumtide-agent"} {
		program := filepath.Join(bin, name)
		if err := os.Rename(program, program+"-unlimited"); err != nil {
			t.Fatal(err)
		}
		script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s-unlimited \"$@\"\n", overloadMaxFds, program)
		if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return bin
}

// Guards against clients that make a process exceed the memory of its machine, end, hang or
// run out of descriptors: with very many header lines, endless heads, empty lines before a
// request, many large bodies, or many idle connections. Each case has its own processes.
func TestClientsBeyondLimits(t *testing.T) {
	bin := buildLimitedPrograms(t)
	const payload = `{"service":"stock-check","team":"crowd","tasks":[{"payload":{"run-ms":1}}]}`
	jobs := crowd.Target{Method: "POST", Path: "/v1/jobs", Host: "h", Job: payload}
	upstreams := crowd.Target{Method: "POST", Path: "/v1/upstreams", Host: "h", Job: "{}"}
	for _, c := range []struct {
		name    string
		agent   bool
		clients int
		send    crowd.Sender
	}{
		{"short lines to the entry", false, 480, jobs.ShortLines},
		{"endless heads to the entry", false, 128, jobs.EndlessHeads},
		{"empty lines to the entry", false, 128, jobs.EmptyLines},
		{"large bodies to the entry", false, 480, jobs.LargeBodies},
		{"idle connections to the entry", false, 700, jobs.Idle},
		{"short lines to the agent", true, 480, upstreams.ShortLines},
		{"endless heads to the agent", true, 128, upstreams.EndlessHeads},
		{"large bodies to the agent", true, 480, upstreams.LargeBodies},
		{"idle connections to the agent", true, 700, upstreams.Idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			d, err := Start(ctx, Config{Bin: bin, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := d.Close(); err != nil {
					t.Error(err)
				}
			}()
			target := d.Entries()[0]
			if c.agent {
				target = d.Agents()[0]
			}
			peak := crowd.Observe(target.PID())
			clients := crowd.Start(strings.TrimPrefix(target.URL(), "http://"), c.clients, c.send)
			defer clients.Close()
			clients.WaitSent()
			time.Sleep(overloadObservation)
			answerCtx, cancel := context.WithTimeout(ctx, overloadAnswerTimeout)
			defer cancel()
			if err := poll(answerCtx, func() error { return probe(answerCtx, d.Entries()[0].URL(), "stock-check") }); err != nil {
				t.Errorf("an ordinary job was not answered: %v", err)
			}
			memoryMb, fds, err := peak.Stop()
			if err != nil {
				t.Fatalf("the process ended: %v", err)
			}
			t.Logf("%.1f MB of %d, %d descriptors of %d", memoryMb, overloadMemoryMb, fds, overloadMaxFds)
			if memoryMb > overloadMemoryMb {
				t.Errorf("the process took %.1f MB of memory, the machine has %d", memoryMb, overloadMemoryMb)
			}
			if fds >= overloadMaxFds {
				t.Errorf("the process used up all %d descriptors", overloadMaxFds)
			}
		})
	}
}

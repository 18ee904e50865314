//go:build review

// Command harness2 runs one case of the second review: it starts the project's programs as
// separate processes against stand-ins for the store, the workers, the operator and the
// clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// testCase is a case: the size of its deployment and what is done. trouble is unset if the
// disruption is left out.
type testCase struct {
	entries, agents int
	run             func(s *System, trouble bool) error
}

var cases = map[string]testCase{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(c, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(c testCase, dir string, trouble bool) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.Close()
	rec.Log("disruption: %v", trouble)
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSystem(rec, c.entries, c.agents)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- c.run(s, trouble) }()
	select {
	case err = <-done:
	case <-stopped:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(maxTime):
		err = fmt.Errorf("not finished after %v", maxTime)
	}
	if err != nil {
		rec.Log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	if n := rec.Violations(); n > 0 {
		fmt.Printf("broken: %d times, first: %s\n", n, rec.violations[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

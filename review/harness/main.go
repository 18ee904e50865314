//go:build review

// Program harness plays the scripted cases of the review. It starts the programs of the
// deploy file as separate processes on loopback addresses, with stand-ins for the store, the
// workers and the clients, and checks one rule of the pages from what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotPlay = 2
)

// maxTime is after when a case is given up.
const maxTime = 115 * time.Second

// errNotPlayed means that a case could not run.
var errNotPlayed = errors.New("the case could not run")

// play is a case. It returns the lines that say how the rule was broken.
type play func(d *deployment, trouble bool) ([]string, error)

var plays = map[string]play{
	"store-outage":  playStoreOutage,
	"added-entries": playAddedEntries,
	"late-record":   playLateRecord,
	"queue-count":   playQueueCount,
	"other-kind":    playOtherKind,
	"instant":       playInstantRestart,
	"frozen-agent":  playFrozenAgent,
	"large-jobs":    playLargeJobs,
	"explore":       playExplore,
}

func main() {
	if len(os.Args) != 2 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE")
		os.Exit(exitNotPlay)
	}
	os.Exit(run(plays[os.Args[1]], mode() != "0" && mode() != "kill"))
}

// run plays a case. The record goes into the present folder.
func run(p play, trouble bool) int {
	rec, err := newRecorder("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlay
	}
	defer rec.close()
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlay
	}
	// build.sh puts this program into target/review/, the deploy file the other into target/.
	program := filepath.Join(filepath.Dir(self), "..", "gypsumtide-platform")
	d, err := newDeployment(rec, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlay
	}
	defer d.close()
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := p(d, trouble)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		return report(rec, r.broken, r.err)
	case <-interrupted:
	case <-time.After(maxTime):
	}
	return report(rec, nil, errNotPlayed)
}

func report(rec *recorder, broken []string, err error) int {
	if err != nil {
		rec.add("not played: %v", err)
		fmt.Println("not played:", err)
		return exitNotPlay
	}
	for i, line := range broken {
		rec.add("BROKEN %s", line)
		if i < 10 {
			fmt.Println("broken:", line)
		}
	}
	if len(broken) > 0 {
		fmt.Println("the rule is broken", len(broken), "times")
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// mode returns the value of TROUBLE. With "kill" the case late-record has its second
// disruption only.
func mode() string { return os.Getenv("TROUBLE") }

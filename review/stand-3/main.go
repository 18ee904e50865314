//go:build review

// Command review-3 runs one case of the third review: it starts the project's programs on
// loopback addresses with stand-ins of the store, the workers and the clients, and exits with 1
// if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 112 * time.Second

var cases = map[string]func(ctx context.Context, rec *recorder, dir string, trouble bool) (broken bool, err error){
	"flag":   caseFlag,
	"ends":   caseEnds,
	"hang":   caseHang,
	"record": caseRecord,
	"queued": caseQueued,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs are in", dir)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, maxDuration)
	defer stop()
	rec := &recorder{file: file, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](ctx, rec, dir, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.add("rule broken")
		fmt.Println("rule broken")
		return 1
	}
	rec.add("rule held")
	fmt.Println("rule held")
	return 0
}

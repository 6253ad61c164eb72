// Command lab plays the cases of the review. It starts the project's balancers and agents as
// separate processes on loopback addresses, with stand-ins for the routers, the clients, the
// hosts and the platform's store, and checks one rule from what these stand-ins saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// cases are the cases by name. Each returns the violations that it saw, or an error if it could
// not run.
var cases = map[string]func(*lab) ([]string, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "folder of the project's programs")
	out := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("logs", "", "folder for the processes' logs; none are kept if empty")
	flag.Parse()
	os.Exit(run(*name, *bin, *out, *keep, os.Getenv("TROUBLE") != "0"))
}

func run(name, bin, out, keep string, trouble bool) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecorder(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := &lab{bin: bin, dir: dir, rec: rec, trouble: trouble}
	defer l.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(l)
		done <- outcome{broken, err}
	}()
	rec.logf("case %s, trouble %v", name, trouble)
	var o outcome
	select {
	case o = <-done:
	case <-signals:
		o.err = fmt.Errorf("stopped by a signal")
	case <-time.After(maxRunTime):
		o.err = fmt.Errorf("took longer than %s", maxRunTime)
	}
	l.stop()
	if keep != "" {
		keepLogs(dir, keep)
	}
	if o.err != nil {
		rec.logf("the case could not run: %v", o.err)
		fmt.Println("the case could not run:", o.err)
		return exitNotRun
	}
	for _, b := range o.broken {
		rec.logf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(o.broken) > 0 {
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// keepLogs copies the settings and the logs of the processes.
func keepLogs(from, to string) {
	files, _ := filepath.Glob(filepath.Join(from, "*"))
	if os.MkdirAll(to, 0o755) != nil {
		return
	}
	for _, f := range files {
		if data, err := os.ReadFile(f); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(f)), data, 0o644)
		}
	}
}

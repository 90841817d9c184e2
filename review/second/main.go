// Command second runs one case of the second review: it starts the programs under review as separate processes, plays
// the clients, the runtimes and the broker on loopback addresses, and judges what those have seen. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration is the time after which a case that hangs is given up. The limit for a script is 120 s.
const maxDuration = 100 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by the names of their folders, and one that has no folder.
var cases = map[string]func(*bench) bool{
	"6":     foreignAnswers,
	"7":     returnedMessageRunsTwice,
	"8":     keyedSpilledOver,
	"9":     repeatedMessageNotAnswered,
	"10":    retriedMessageAnsweredLate,
	"proxy": keyedThroughProxy, // no case: an entry of an open issue
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit code.
func play(name, folder string) (code int) {
	b, err := newBench(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if problem := recover(); problem != nil {
				b.record("the case could not run: %v", problem)
				result <- exitNotRun
			}
		}()
		if cases[name](b) {
			result <- exitHeld
		} else {
			result <- exitBroken
		}
	}()
	select {
	case code = <-result:
	case <-interrupted:
		b.record("the case was interrupted")
		code = exitNotRun
	case <-time.After(maxDuration):
		b.record("the case did not end within %v", maxDuration)
		code = exitNotRun
	}
	b.record("exit code %d", code)
	fmt.Printf("case %s, disruption %v: exit code %d\n", name, b.trouble, code)
	return code
}

// Command rig2 plays the cases of the second review: it starts the agent with the command of the deploy file, plays the
// clients, the passage servers and discovery, and judges what they see.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxTime is the time after which a case ends in any event.
const maxTime = 118 * time.Second

// env is what a case needs.
type env struct {
	rec     *record
	root    string // the root of the repository
	run     string // the command of the deploy file that starts an agent
	dir     string // a temporary folder
	trouble bool   // false: without the disruption
}

var cases = map[string]func(*env) (int, error){}

func main() {
	status, err := play()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		status = couldNot
	}
	os.Exit(status)
}

func play() (int, error) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return couldNot, fmt.Errorf("usage: RUN=command rig2 CASE FOLDER, from the root of the repository")
	}
	root, err := os.Getwd()
	if err != nil {
		return couldNot, err
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		return couldNot, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return couldNot, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(folder)
	if err != nil {
		return couldNot, err
	}
	defer rec.close()
	e := &env{rec: rec, root: root, run: os.Getenv("RUN"), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	time.AfterFunc(maxTime, func() { // the end of this process ends the agent
		fmt.Fprintln(os.Stderr, "rig2: the case took too long")
		rec.close()
		_ = os.RemoveAll(dir)
		os.Exit(couldNot)
	})
	return cases[os.Args[1]](e)
}

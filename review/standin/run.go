package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses of a case.
const (
	Held      = 0 // the rule held
	Broken    = 1 // the rule was broken
	CannotRun = 2 // the case couldn't run
)

// Run runs a case on a deployment, ends the deployment, and returns the exit status. The arguments of the process are
// the root of the repository and the folder of the case. trouble is false if TROUBLE is 0. The deployment also ends on
// SIGTERM and SIGINT.
func Run(options func(trouble bool) SiteOptions, play func(site *Site, trouble bool) int) int {
	if len(os.Args) != 3 {
		fmt.Println("want the root of the repository and the folder of the case")
		return CannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	o := options(trouble)
	o.Root, o.Case = os.Args[1], os.Args[2]
	site, err := NewSite(o)
	if site != nil {
		defer site.Close()
	}
	if err != nil {
		fmt.Println("can't run:", err)
		return CannotRun
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- play(site, trouble) }()
	select {
	case status := <-result:
		return status
	case <-ended:
		return CannotRun
	}
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

const (
	// hostileSecondsEnvVar is the environment variable with the duration of each run with hostile clients in seconds.
	// The default is for CI.
	hostileSecondsEnvVar  = "ASHSHUNT_HOSTILE_SECONDS"
	defaultHostileSeconds = 2
	// hostileClientsEnvVar is the environment variable with the number of hostile clients.
	hostileClientsEnvVar  = "ASHSHUNT_HOSTILE_CLIENTS"
	defaultHostileClients = 600
	// hostileMemoryEnvVar and hostileSocketsEnvVar are the environment variables with the limits of the agent.
	hostileMemoryEnvVar  = "ASHSHUNT_HOSTILE_MEMORY_MB"
	hostileSocketsEnvVar = "ASHSHUNT_HOSTILE_SOCKETS"
	minMemoryMB          = 32 // the least memory of a deployment
	maxSockets           = 1024
)

const (
	hostileEndpoints      = 12
	hostileMinServiceTime = 2 * time.Millisecond
	hostileMaxServiceTime = 20 * time.Millisecond
	// hostileWait is how long a hostile client waits for the agent before it closes its connection.
	hostileWait = 6 * time.Second
	// maxBodySize is the size of the longest valid body.
	maxBodySize = 65536
)

// hostileRun is a run of the agent between fake endpoints, well-behaved clients and hostile ones.
type hostileRun struct {
	t       *testing.T
	binary  string     // path of the agent
	file    configFile // configuration of the agent
	addr    string     // address of the agent
	nextID  atomic.Int64
	stopped chan struct{} // closed at the end of the run
	// bodySize is the size of the bodies of well-behaved clients; 0: they send none.
	bodySize int
}

// buildAgent builds the agent as deploy/balancer.toml does. The test binary itself needs more memory.
func buildAgent(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "ashshunt")
	build := exec.Command("go", "build", "-buildvcs=false", "-ldflags=-linkmode=external", "-o", path, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the agent: %v\n%s", err, output)
	}
	return path
}

// hostileConfigFormat is the format of the agent's configuration. Its arguments are the addresses of the agent
// and of discovery, the limits of memory and of descriptors, and the endpoint list.
const hostileConfigFormat = `{"name":"n1","listen":%q,"discovery":%q,"seed":"1",
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":{"Balancers":1,"Me":0,"TickMs":5,
 "MembershipMode":"automatic","Dcs":["a"],"Kinds":["m"],
 "Contract":{"ColdFrom":0.3,"RampTimeMs":8000,"FallMs":1500,"FallMultiple":3,"DrainGraceMs":2000,"GraceToAnswerMs":20},
 "PolicyLimits":{"ConnectTimeoutMs":250,"TryLimit":5,"IdleCloseMs":60000,"RetryAfter":true,"MaxRetryAfterMs":3000,
 "Cancel":true,"StreamsPerConn":1},"Profiles":[
 {"Name":"look","AimMs":600,"DeadlineMs":3000,"Worth":1,"Semantics":"repeatable"},
 {"Name":"hold","AimMs":600,"DeadlineMs":3000,"Worth":1,"Semantics":"by_key","Group":"all","WindowMs":5000},
 {"Name":"settle","AimMs":600,"DeadlineMs":3000,"Worth":1,"Semantics":"once"}]}}`

// newHostileRun returns a run with endpoints with responses of the given size. A size of 0 means that they respond with
// the ID of the request.
func newHostileRun(t *testing.T, binary string, responseSize int) *hostileRun {
	t.Helper()
	rng := newLockedRand(1)
	var entries []string
	for i := range hostileEndpoints {
		addr := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(rng.drawDuration(hostileMinServiceTime, hostileMaxServiceTime))
			_, _ = io.WriteString(w, r.Header.Get("X-Call-Id")) // an error means that the agent has disconnected
			if !strings.HasSuffix(r.URL.Path, wellBehavedSuffix) {
				_, _ = w.Write(make([]byte, max(0, responseSize-len(testutil.RequestID))))
			}
		})
		entries = append(entries, testutil.EntryJSON(fmt.Sprint("s", i), addr, "SERVING"))
	}
	list := fmt.Sprintf(`{"version":2,"full":true,"servers":[%s]}`, strings.Join(entries, ","))
	list = strings.ReplaceAll(strings.ReplaceAll(list, `"dc"`, `"a"`), `"std"`, `"m"`)
	discovery := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, list+"\n") // an error means that the agent has disconnected
		for r.Context().Err() == nil {      // an empty line every 2 s shows that discovery is up
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
				_, _ = io.WriteString(w, "\n")
			}
		}
	})
	run := &hostileRun{t: t, binary: binary, file: newConfigFile(t), addr: freeAddr(t, 0), stopped: make(chan struct{})}
	run.file.write(t, fmt.Sprintf(hostileConfigFormat, run.addr, discovery,
		intFromEnv(t, hostileMemoryEnvVar, minMemoryMB), intFromEnv(t, hostileSocketsEnvVar, maxSockets), list))
	return run
}

// start starts a process of the agent.
func (r *hostileRun) start() agentProcess {
	process := startCommand(r.t, r.file, exec.Command(r.binary))
	process.waitForAddr(r.t)
	go r.logErrors(process) // returns when the agent exits
	return process
}

// logErrors prints the lines of the agent's log that are not information.
func (r *hostileRun) logErrors(process agentProcess) {
	const maxLines = 5
	for lines := 0; process.log.Scan(); {
		if text := process.log.Text(); lines < maxLines && !strings.Contains(text, "level=INFO") {
			fmt.Println(text)
			lines++
		}
	}
}

// startHostileClients starts hostile clients that use their connections in the given ways in turn. The returned
// function blocks until they have ended.
func (r *hostileRun) startHostileClients(count int, uses ...hostileClient) (wait func()) {
	var hostile sync.WaitGroup
	for i := range count {
		hostile.Go(func() { r.runHostileClient(uses[i%len(uses)]) })
	}
	return hostile.Wait
}

// runWellBehavedClients runs well-behaved clients for the duration of the run, then stops the run, and returns the
// outcomes.
func (r *hostileRun) runWellBehavedClients() *clientOutcomes {
	var wellBehaved sync.WaitGroup
	outcomes := &clientOutcomes{counts: map[clientOutcome]int{}}
	for range wellBehavedClients {
		wellBehaved.Go(func() { (&wellBehavedClient{run: r, outcomes: outcomes}).sendUntilStopped() })
	}
	time.Sleep(time.Duration(intFromEnv(r.t, hostileSecondsEnvVar, defaultHostileSeconds)) * time.Second)
	close(r.stopped)
	wellBehaved.Wait()
	return outcomes
}

// verify checks the peak of a process's memory, and the outcomes of well-behaved clients.
func (r *hostileRun) verify(process agentProcess, outcomes *clientOutcomes) {
	r.t.Helper()
	r.verifyPeak(process)
	r.t.Log(outcomes)
	if served, sent := outcomes.count(outcomeServed), outcomes.total(); served*10 < sent*9 || sent == 0 {
		r.t.Errorf("got %d of %d well-behaved requests served, want nine in ten", served, sent)
	}
}

// verifyPeak checks the peak of a process's memory.
func (r *hostileRun) verifyPeak(process agentProcess) {
	r.t.Helper()
	limit := float64(intFromEnv(r.t, hostileMemoryEnvVar, minMemoryMB))
	peak := peakMemoryMB(r.t, process)
	r.t.Logf("peak %.1f of %.0f MB", peak, limit)
	if peak > limit {
		r.t.Errorf("got a peak of %.1f MB, want at most %.0f", peak, limit)
	}
}

func (r *hostileRun) isStopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

// newID returns an ID that no other request of the run has.
func (r *hostileRun) newID() string { return testutil.NthID(int(r.nextID.Add(1))) }

// runHostileClient uses one connection after another until the run is stopped.
func (r *hostileRun) runHostileClient(use hostileClient) {
	for !r.isStopped() {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(hostileWait)) // fails only on a closed connection
		finished := make(chan struct{})
		go func() { // ends the wait of the client at the end of the run
			select {
			case <-r.stopped:
				_ = conn.Close()
			case <-finished:
			}
		}()
		use(r, conn)
		close(finished)
		_ = conn.Close() // an error means that it is closed
	}
}

// peakMemoryMB returns the peak of the resident memory of a process in MB.
func peakMemoryMB(t *testing.T, process agentProcess) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		t.Fatal("the agent has exited: ", err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int
	if _, err := fmt.Sscanf(rest, "%d kB", &kilobytes); err != nil {
		t.Fatalf("read the peak of the agent's memory: %v", err)
	}
	return float64(kilobytes) / 1024
}

package main

import (
	"bufio"
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
	// hostileSecondsEnvVar is the environment variable with the duration of each run of TestHostileClients in seconds.
	// The default is for CI.
	hostileSecondsEnvVar  = "ASHSHUNT_HOSTILE_SECONDS"
	defaultHostileSeconds = 3
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

// hostileRun is a process of the agent between fake endpoints, well-behaved clients and hostile ones.
type hostileRun struct {
	t       *testing.T
	addr    string
	nextID  atomic.Int64
	stopped chan struct{} // closed at the end of the run
	// bodySize is the size of the bodies of well-behaved clients; 0: they send none.
	bodySize int
}

// hostileClient uses one connection badly and returns when it is done with it.
type hostileClient func(run *hostileRun, conn net.Conn)

// hostileClients are the kinds of hostile clients.
var hostileClients = []struct {
	name string
	use  hostileClient
	// responseSize is the size of the responses of the endpoints.
	responseSize int
	// clients is the number of hostile clients; 0: the default. Clients that write at full speed are few, since the
	// machine that runs them would be overloaded otherwise.
	clients int
	// bodySize is the size of the bodies of well-behaved clients; 0: they send none.
	bodySize int
}{
	{name: "half bodies", use: sendHalfBody},
	{name: "half bodies beside whole ones", use: sendHalfBody, bodySize: 20000},
	{name: "half bodies, then a byte at a time", use: trickleBody},
	{name: "half heads of short fields", use: sendHalfHead},
	{name: "half heads of few long fields", use: sendHalfLongHead},
	{name: "half heads on used connections", use: sendHalfHeadLater},
	{name: "whole heads of short fields", use: sendManyFields},
	{name: "whole heads of as many fields as are allowed", use: sendAllowedFields},
	{name: "long requests", use: sendLongRequest},
	{name: "long requests and responses", use: sendLongRequest, responseSize: maxBodySize},
	{name: "long responses that are not read", use: ignoreResponse, responseSize: maxBodySize},
	{name: "clients that leave", use: leave},
	{name: "half bodies on used connections", use: sendHalfBodyLater},
	{name: "bytes that are no request", use: sendGarbage},
	{name: "malformed requests at full speed on one connection", use: floodWithMalformed, clients: 4},
	{name: "small requests at full speed on one connection", use: floodWithRequests, clients: 4},
	{name: "silent connections", use: stayShut},
	{name: "half requests that are given up at once", use: abortWithinBody},
	{name: "clients that wait for 100 Continue", use: expectContinue},
}

// Hundreds of hostile clients must neither make the agent exceed its memory limit, nor keep it from serving others.
func TestHostileClients(t *testing.T) {
	binary := buildAgent(t)
	for _, kind := range hostileClients {
		t.Run(kind.name, func(t *testing.T) {
			run, process := startHostileRun(t, binary, kind.responseSize)
			clients := kind.clients
			if clients == 0 {
				clients = intFromEnv(t, hostileClientsEnvVar, defaultHostileClients)
			}
			run.bodySize = kind.bodySize
			outcomes := run.runClients(kind.use, clients)
			peak := peakMemoryMB(t, process)
			limit := float64(intFromEnv(t, hostileMemoryEnvVar, minMemoryMB))
			t.Logf("peak %.1f of %.0f MB; %s", peak, limit, outcomes)
			if peak > limit {
				t.Errorf("got a peak of %.1f MB, want at most %.0f", peak, limit)
			}
			if served, sent := outcomes.count(outcomeServed), outcomes.total(); served*10 < sent*9 || sent == 0 {
				t.Errorf("got %d of %d well-behaved requests served, want nine in ten", served, sent)
			}
		})
	}
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

// hostileConfigFormat is the format of the agent's configuration. Its arguments are the address of discovery, the
// limits of memory and of descriptors, and the endpoint list.
const hostileConfigFormat = `{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":{"Balancers":1,"Me":0,"TickMs":5,
 "MembershipMode":"automatic","Dcs":["a"],"Kinds":["m"],
 "Contract":{"ColdFrom":0.3,"RampTimeMs":8000,"FallMs":1500,"FallMultiple":3,"DrainGraceMs":2000,"GraceToAnswerMs":20},
 "PolicyLimits":{"ConnectTimeoutMs":250,"TryLimit":5,"IdleCloseMs":60000,"RetryAfter":true,"MaxRetryAfterMs":3000,
 "Cancel":true,"StreamsPerConn":1},"Profiles":[
 {"Name":"look","AimMs":600,"DeadlineMs":3000,"Worth":1,"Semantics":"repeatable"},
 {"Name":"hold","AimMs":600,"DeadlineMs":3000,"Worth":1,"Semantics":"by_key","Group":"all","WindowMs":5000},
 {"Name":"settle","AimMs":600,"DeadlineMs":3000,"Worth":1,"Semantics":"once"}]}}`

// startHostileRun starts an agent with little memory, and endpoints with responses of the given size. A size of 0
// means that they respond with the ID of the request.
func startHostileRun(t *testing.T, binary string, responseSize int) (*hostileRun, agentProcess) {
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
	file := newConfigFile(t)
	file.write(t, fmt.Sprintf(hostileConfigFormat, discovery, intFromEnv(t, hostileMemoryEnvVar, minMemoryMB),
		intFromEnv(t, hostileSocketsEnvVar, maxSockets), list))
	process := startCommand(t, file, exec.Command(binary))
	run := &hostileRun{t: t, addr: process.waitForAddr(t).String(), stopped: make(chan struct{})}
	go run.logErrors(process) // returns when the agent exits
	return run, process
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

// runClients runs the clients for the duration of the run and returns the outcomes of the well-behaved ones. These
// start when the hostile ones have had some time to connect.
func (r *hostileRun) runClients(use hostileClient, clients int) *clientOutcomes {
	var hostile, wellBehaved sync.WaitGroup
	for range clients {
		hostile.Go(func() { r.runHostileClient(use) })
	}
	time.Sleep(500 * time.Millisecond)
	outcomes := &clientOutcomes{counts: map[clientOutcome]int{}}
	for range wellBehavedClients {
		wellBehaved.Go(func() { (&wellBehavedClient{run: r, outcomes: outcomes}).sendUntilStopped() })
	}
	time.Sleep(time.Duration(intFromEnv(r.t, hostileSecondsEnvVar, defaultHostileSeconds)) * time.Second)
	close(r.stopped)
	wellBehaved.Wait()
	hostile.Wait()
	return outcomes
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

// The kinds of hostile clients. Errors mean that the agent has closed the connection or that the run is stopped.

// head returns the head of a POST request of the class that must not run twice, up to its last field.
func (r *hostileRun) head(contentLength int) string {
	return fmt.Sprintf("POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: 2000\r\n"+
		"Content-Length: %d\r\n", r.newID(), contentLength)
}

func sendHalfBody(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"\r\n"+strings.Repeat("x", 65000))
	_, _ = io.Copy(io.Discard, conn)
}

func trickleBody(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"\r\n"+strings.Repeat("x", 65000))
	for range 500 {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return
		}
		time.Sleep(15 * time.Millisecond)
	}
}

func sendHalfHead(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+strings.Repeat("a: b\r\n", 1100))
	_, _ = io.Copy(io.Discard, conn)
}

func sendHalfLongHead(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+"a: "+strings.Repeat("b", 7800))
	_, _ = io.Copy(io.Discard, conn)
}

func sendHalfHeadLater(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+"\r\n")
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && !response.Close {
		sendHalfHead(run, conn)
	}
}

func sendManyFields(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+strings.Repeat("a: b\r\n", 500)+"\r\n")
	_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
}

func sendAllowedFields(run *hostileRun, conn net.Conn) {
	var fields strings.Builder
	for i := range 60 {
		fmt.Fprintf(&fields, "x-%d: %s\r\n", i, strings.Repeat("v", 100))
	}
	_, _ = io.WriteString(conn, run.head(0)+fields.String()+"\r\n")
	_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
}

func sendLongRequest(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"\r\n"+strings.Repeat("x", maxBodySize))
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

func ignoreResponse(run *hostileRun, conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4096) // fails only on a closed connection
	}
	_, _ = io.WriteString(conn, strings.Repeat(run.head(0)+"\r\n", 8))
	select {
	case <-run.stopped:
	case <-time.After(hostileWait):
	}
}

// sendHalfBodyLater sends a small request before.
func sendHalfBodyLater(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+"\r\n")
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && !response.Close {
		sendHalfBody(run, conn)
	}
}

func sendGarbage(_ *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, strings.Repeat("\x16\x03\x01garbage\r\n", 500))
	_, _ = io.Copy(io.Discard, conn)
}

// floodWithMalformed sends requests with ever new names, of which no two have the same fault.
func floodWithMalformed(run *hostileRun, conn net.Conn) {
	texts := []string{
		"GET /" + run.newID() + " HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /settle HTTP/1.1\r\nHost: x\r\nX-" + run.newID() + ": y\r\nContent-Length: 1\r\n\r\nx",
		"GET /look HTTP/1.0\r\n\r\n",
		run.head(1) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }() // returns when the connection is closed
	for i := 0; !run.isStopped(); i++ {
		if _, err := io.WriteString(conn, texts[i%len(texts)]); err != nil {
			return
		}
	}
}

// floodWithRequests sends valid requests without waiting for the responses.
func floodWithRequests(run *hostileRun, conn net.Conn) {
	go func() { _, _ = io.Copy(io.Discard, conn) }() // returns when the connection is closed
	for !run.isStopped() {
		if _, err := io.WriteString(conn, run.head(1)+"\r\nx"); err != nil {
			return
		}
	}
}

func stayShut(_ *hostileRun, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func abortWithinBody(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"\r\n"+strings.Repeat("x", 30000))
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close resets the connection
	}
}

func expectContinue(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"Expect: 100-continue\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
}

func leave(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(1)+"\r\nx")
	time.Sleep(2 * time.Millisecond)
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

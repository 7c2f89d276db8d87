package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const long = 20 * time.Second

// discovery tells the query of each watch.
func discovery(t *testing.T) (addr string, watched chan string) {
	watched = make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"version":7,"full":true,"servers":[]}`)
		w.(http.Flusher).Flush()
		watched <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), watched
}

func expect(t *testing.T, watched chan string, want string) {
	t.Helper()
	select {
	case q := <-watched:
		if q != want {
			t.Errorf("watched with %q, want %q", q, want)
		}
	case <-time.After(long):
		t.Fatal("not watched")
	}
}

// Guards against SIGHUP ending the process, as it does unheard: the file is read again, a bad one changes
// nothing, a new address of discovery is watched, and signals that overlap do no harm.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(addr string) string {
		return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		 "limits":{"memory_mb":192,"sockets":1024},"known":{"version":3,"full":true,"servers":[]},
		 "settings":{"Balancers":1,"Me":0,"TickMs":1,"MembershipMode":"subscribe","Contract":{"ColdFrom":1,"AskWithinMs":640},
		 "Profiles":[{"Name":"a","AimMs":100,"DeadlineMs":500,"Worth":1,"Semantics":"once"}]}}`, addr)
	}
	hup := func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	first, firstWatched := discovery(t)
	second, secondWatched := discovery(t)
	write(config(first))
	t.Setenv("GW_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	expect(t, firstWatched, "follow=1&since=3")
	write("{")
	hup()
	write(config(second))
	for range 5 {
		hup()
	}
	expect(t, secondWatched, "follow=1")
	write(config(first))
	hup()
	expect(t, firstWatched, "follow=1")
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(long):
		t.Fatal("does not stop")
	}
	if len(firstWatched)+len(secondWatched) != 0 {
		t.Error("an address was watched twice")
	}
}

// TestMain lets a test run the agent as a process of its own, for signals that it would not survive.
func TestMain(m *testing.M) {
	if os.Getenv("VIOLETLATCH_TEST_PROCESS") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process starts the agent and hands out its log by lines.
func process(t *testing.T, config string) (cmd *exec.Cmd, log *bufio.Scanner) {
	t.Helper()
	return started(t, config, exec.Command(os.Args[0]))
}

// started starts a command that ends in the agent.
func started(t *testing.T, config string, cmd *exec.Cmd) (_ *exec.Cmd, log *bufio.Scanner) {
	t.Helper()
	cmd.Env = append(os.Environ(), "VIOLETLATCH_TEST_PROCESS=1", "GW_CONFIG="+config)
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return cmd, bufio.NewScanner(out)
}

// line waits for a line of a log that holds a text.
func line(t *testing.T, log *bufio.Scanner, text string) string {
	t.Helper()
	for log.Scan() {
		if strings.Contains(log.Text(), text) {
			return log.Text()
		}
	}
	t.Fatalf("the log ends without %q", text)
	return ""
}

const settings = `"settings":{"Balancers":1,"Me":0,"TickMs":1,"Contract":{"ColdFrom":1},"PolicyLimits":{"ConnectTimeoutMs":1000},
 "Profiles":[{"Name":"a","AimMs":100,"DeadlineMs":%d,"Worth":1,"Semantics":"once"}]}}`

// Guards against a stop that comes before the agent serves, when it would end as if killed. A configuration that
// has not come whole yet holds the start where the signals come.
func TestSignalsRightAfterTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, _ := process(t, path)
	w, err := os.OpenFile(path, os.O_WRONLY, 0) // once it reads
	if err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGTERM)
	fmt.Fprintf(w, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",`+settings, 300)
	w.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("stopped at its start, it ends with %v", err)
	}
}

// Guards against signals that cross in a drain: a new configuration, good or bad, and a second stop change nothing
// for what is under way.
func TestSignalsDuringADrain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	first, _ := discovery(t)
	second, watched := discovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(addr string) string {
		return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","known":{"version":9,"full":true,"servers":[
		 {"id":"s0","addr":%q,"zone":"","kind":"","cell":1,"state":"SERVING","weight":1,"started_ms":0}]},`+settings,
			addr, l.Addr().String(), 20000)
	}
	write(config(first))
	cmd, log := process(t, path)
	_, addr, _ := strings.Cut(line(t, log, "msg=serving"), "listen=")
	client, err := net.Dial("tcp", strings.TrimSpace(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(long))
	io.WriteString(client, "POST /a HTTP/1.1\r\nHost: x\r\nX-Call-Id: 00000000000000a1\r\nX-Budget-Ms: 15000\r\n\r\n")
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	line(t, log, `msg="shutting down"`)
	for _, bad := range []string{"{", strings.Replace(config(second), `"Balancers":1`, `"Balancers":0`, 1)} {
		write(bad)
		cmd.Process.Signal(syscall.SIGHUP)
		line(t, log, "invalid configuration, keeping the old one")
	}
	write(config(second))
	cmd.Process.Signal(syscall.SIGHUP)
	expect(t, watched, "follow=1")
	cmd.Process.Signal(syscall.SIGTERM)
	io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
	for log.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
}

// Guards against clients that fill the descriptors while discovery is down, those that say nothing as well as
// those that ask once and stay: the watch at its return, the backends and the next client must still get theirs.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const allowed = 64
	for _, limits := range []string{fmt.Sprintf(`"limits":{"sockets":%d},`, allowed), ""} { // told, or not told
		t.Run(limits, func(t *testing.T) {
			t.Parallel()
			back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") }))
			t.Cleanup(back.Close)
			server := strings.TrimPrefix(back.URL, "http://")
			var up atomic.Bool
			disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if up.Load() { // else it is silent
					fmt.Fprintf(w, `{"version":7,"full":true,"servers":[{"id":"s0","addr":%q,"state":"SERVING"}]}`+"\n", server)
					w.(http.Flusher).Flush()
				}
				<-r.Context().Done()
			}))
			t.Cleanup(disc.Close)
			path := filepath.Join(t.TempDir(), "config.json")
			config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",`+limits+settings,
				strings.TrimPrefix(disc.URL, "http://"), 3000)
			if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
				t.Fatal(err)
			}
			_, log := started(t, path, exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, allowed), os.Args[0]))
			_, addr, _ := strings.Cut(line(t, log, "msg=serving"), "listen=")
			addr = strings.TrimSpace(addr)
			go func() {
				for log.Scan() {
				}
			}()
			ask := func(i int) string {
				return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 3000\r\n\r\n", i)
			}
			stop := make(chan struct{})
			var filled, gone sync.WaitGroup
			filled.Add(3 * allowed)
			for i := range 3 * allowed {
				gone.Go(func() { // each comes back as its connection ends
					first := sync.OnceFunc(filled.Done)
					defer first()
					for {
						client, err := net.Dial("tcp", addr)
						if err != nil {
							return
						}
						if i%2 == 0 {
							io.WriteString(client, ask(i))
						}
						first()
						ended := make(chan struct{})
						go func() {
							io.Copy(io.Discard, client)
							close(ended)
						}()
						select {
						case <-ended:
							client.Close()
						case <-stop:
							client.Close()
							return
						}
					}
				})
			}
			defer gone.Wait()
			defer close(stop)
			filled.Wait()
			up.Store(true)
			for i, end := 1000, time.Now().Add(long); ; i++ {
				client, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				client.SetDeadline(time.Now().Add(long))
				io.WriteString(client, ask(i))
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				client.Close()
				if err == nil && resp.StatusCode == http.StatusOK {
					return
				}
				if time.Now().After(end) {
					t.Fatalf("nobody is served after discovery is back: %v, %v", resp, err)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

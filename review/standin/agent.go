package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// AgentConfig is what the platform tells an agent.
type AgentConfig struct {
	Name      string
	Listen    string // empty: a free port
	Discovery string
	Sockets   int
	MemoryMB  int
	Known     List
	Settings  map[string]any
}

// Agent is a running agent.
type Agent struct {
	Addr       string
	ConfigPath string
	command    *exec.Cmd
	exited     chan struct{}
}

// DeployCommand returns the value of a key of deploy/balancer.toml.
func DeployCommand(root, key string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, key+" = \""); ok {
			return strings.TrimSuffix(value, "\""), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
}

// FreeAddr returns a loopback address with a free port.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// WriteConfig writes the configuration file of an agent.
func WriteConfig(path string, c AgentConfig) error {
	raw, err := json.Marshal(map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"known":  c.Known, "settings": c.Settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// StartAgent starts an agent with the run command of the deploy file and waits until it is ready.
func StartAgent(root, folder string, c AgentConfig) (*Agent, error) {
	run, err := DeployCommand(root, "run")
	if err != nil {
		return nil, err
	}
	if c.Listen == "" {
		if c.Listen, err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	a := &Agent{Addr: c.Listen, ConfigPath: filepath.Join(folder, c.Name+".json"), exited: make(chan struct{})}
	if err := WriteConfig(a.ConfigPath, c); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, c.Name+".log"))
	if err != nil {
		return nil, err
	}
	a.command = exec.Command("/bin/sh", "-c", run)
	a.command.Dir = root
	a.command.Env = append(os.Environ(), "GW_NAME="+c.Name, "GW_LISTEN="+c.Listen, "GW_DISCOVERY="+c.Discovery,
		"GW_CONFIG="+a.ConfigPath, "TMPDIR="+folder)
	a.command.Stdout, a.command.Stderr = log, log
	if err := a.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = a.command.Wait()
		close(a.exited)
	}()
	return a, a.waitUntilReady()
}

const readyTimeout = 30 * time.Second

func (a *Agent) waitUntilReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + a.Addr + "/healthz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("agent at %s is not ready after %s", a.Addr, readyTimeout)
}

// Signal sends a signal to the agent.
func (a *Agent) Signal(signal syscall.Signal) { _ = a.command.Process.Signal(signal) }

// PID returns the agent's process ID.
func (a *Agent) PID() int { return a.command.Process.Pid }

// HasExited reports whether the agent's process has ended.
func (a *Agent) HasExited() bool {
	select {
	case <-a.exited:
		return true
	default:
		return false
	}
}

// Kill ends the agent.
func (a *Agent) Kill() {
	_ = a.command.Process.Kill()
	<-a.exited
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// agent is the program that `run` of deploy/balancer.toml starts, as a process of its own.
type agent struct {
	addr, config string
	conf         map[string]any
	process      *exec.Cmd
	log          *os.File
	ended        chan struct{}
	endedWith    error
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// newAgent writes the configuration of an agent. settings is the settings object.
func newAgent(dir, discovery string, known list, settings map[string]any) (*agent, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	a := &agent{addr: addr, config: filepath.Join(dir, "config.json"), conf: map[string]any{
		"name": "n0", "listen": addr, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    known,
		"settings": settings,
	}}
	if a.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return nil, err
	}
	return a, a.writeConfig()
}

// writeConfig replaces the configuration file as a whole.
func (a *agent) writeConfig() error {
	text, err := json.Marshal(a.conf)
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(a.config+".new", a.config)
}

// start starts the process and waits until it is ready.
func (a *agent) start(root, run string) error {
	a.process = exec.Command("/bin/sh", "-c", run)
	a.process.Dir = root
	a.process.Env = append(os.Environ(), "GW_CONFIG="+a.config)
	a.process.Stdout, a.process.Stderr = a.log, a.log
	a.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := a.process.Start(); err != nil {
		return err
	}
	a.ended = make(chan struct{})
	go func() {
		a.endedWith = a.process.Wait()
		close(a.ended)
	}()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if a.hasEnded() {
			return fmt.Errorf("the agent ended at its start: %w", a.endedWith)
		}
		response, err := http.Get("http://" + a.addr + "/healthz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the agent was not ready within 30 s")
}

func (a *agent) signal(s syscall.Signal) { _ = a.process.Process.Signal(s) }

func (a *agent) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// stop kills the process and waits for its end.
func (a *agent) stop() {
	if a == nil || a.ended == nil {
		return
	}
	_ = syscall.Kill(-a.process.Process.Pid, syscall.SIGKILL)
	<-a.ended
}

// settingsText is the settings object of WIRE-ashshunt.md, section 6.
const settingsText = `
{"Balancers": 3,
 "Clients": {"MarksRetry": true},
 "Contract": {"AskWithinMs": 10000.0, "ColdFrom": 0.32, "DrainGraceMs": 2000.0, "FallMs": 1500.0, "FallMultiple": 3.0, "GraceToAnswerMs": 20.0, "RampTimeMs": 8600.0},
 "CountedBy": "work",
 "Dcs": ["mechelen", "namur", "ghent"],
 "FamilyInfo": {"WarmKeys": false},
 "Goal": {"Whole": 0.4, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.3},
 "KindOfService": "mesh",
 "Kinds": ["fast-2c", "std-2c", "slow-2c"],
 "Me": 0,
 "MembershipMode": "automatic",
 "OverShareWorth": 0.05,
 "PolicyLimits": {"Cancel": true, "ConnectTimeoutMs": 150.0, "CpuUsPerRequest": 10.0, "CpuUsPerS": 8000, "IdleCloseMs": 60000.0, "MaxOpen": 20000, "MaxRetryAfterMs": 3000.0, "MayProbe": true, "Peers": false, "RetryAfter": false, "SecondCopies": false, "StreamsPerConn": 1, "TryLimit": 5},
 "Prices": {"Connection": 0.0, "CrossZone": 0.02, "Handshake": 0.0, "LateFail": 0.032, "MembershipMode": 0.0, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.004, "Waste": 0.05},
 "Profiles": [
  {"AimMs": 600.0, "DeadlineMs": 3000.0, "Group": "all", "LateValue": 0.0, "Name": "account-check", "Semantics": "repeatable", "Stream": false, "WindowMs": 5000.0, "Worth": 1.0},
  {"AimMs": 600.0, "DeadlineMs": 2000.0, "Group": "zone", "LateValue": 0.0, "Name": "passage-record", "Semantics": "by_key", "Stream": false, "WindowMs": 1500.0, "Worth": 5.0},
  {"AimMs": 400.0, "DeadlineMs": 1500.0, "Group": "cell", "LateValue": 0.0, "Name": "lane-charge", "Semantics": "by_key", "Stream": false, "WindowMs": 4000.0, "Worth": 5.0}],
 "Report": {"Fields": ["backlog", "outstanding"], "Source": "on_probe"},
 "Tenants": [{"Name": "tolweg-noord", "Portion": 0.31, "QuotaPerS": 48.0}, {"Name": "snelweg-kempen", "Portion": 0.26, "QuotaPerS": 40.0}, {"Name": "autoroutes-sud", "Portion": 0.17, "QuotaPerS": 26.0}, {"Name": "ringweg-brussel", "Portion": 0.15, "QuotaPerS": 23.0}, {"Name": "tunnel-schelde", "Portion": 0.06, "QuotaPerS": 9.0}, {"Name": "brug-maas", "Portion": 0.05, "QuotaPerS": 8.0}],
 "TickMs": 5.0, "Tier": 0, "Tiers": ["passage-servers"], "Weights": "off", "Zone": 0}`

// settings returns a copy of the settings object that may be changed.
func settings() map[string]any {
	var object map[string]any
	if err := json.Unmarshal([]byte(settingsText), &object); err != nil {
		panic(err)
	}
	return object
}

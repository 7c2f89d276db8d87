// Package config reads and checks the agent's configuration, including the settings of the decision module.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"

	"golang.org/x/sys/unix"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

// Config is all that an agent is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string // host:port of discovery
	Seed      uint64
	MemoryMB  int // 0: no limit
	Sockets   int // file descriptors that the process may hold; 0: no limit
	Settings  balancer.Settings
	Names     Names
	Known     endpoint.List // the backends as last known; may be old
}

// ClientConnections is the share of the descriptors that clients' connections may take. It and EndpointConnections share out the descriptors: half to clients, of whom more wait than are
// out at backends when all is crowded; three eighths to backends. The rest is room.
func (c *Config) ClientConnections() int { return (c.Sockets + 1) / 2 }

// EndpointConnections is the share of the descriptors for connections to endpoints.
func (c *Config) EndpointConnections() int { return (c.Sockets*3 + 7) / 8 }

// OpenRequests is how many requests may be open, for the module to keep some of that free: what the settings
// allow, and no more than clients can hold, to whom a third of the descriptors goes for requests, each on a
// connection of its own. Beyond that requests wait unseen or are turned away.
func (c *Config) OpenRequests() int {
	n := c.Settings.MaxOpen
	if third := c.Sockets / 3; third > 0 && (n == 0 || third < n) {
		n = third
	}
	return n
}

// Load reads the configuration file. Empty name and addresses are taken from the environment.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the file
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.Sockets, err = descriptors(c.Sockets); err != nil {
		return nil, err
	}
	return c, nil
}

// descriptors is how many the process may hold: what it was told, or what the system allows if that is less. Without
// a bound clients could take them all, and discovery and backends would get none.
func descriptors(told int) (int, error) {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil {
		return 0, fmt.Errorf("limit on descriptors: %w", err)
	}
	if system.Cur < math.MaxInt32 && (told == 0 || int(system.Cur) < told) {
		return int(system.Cur), nil
	}
	return told, nil
}

// Parse reads the text of a configuration and checks it.
func Parse(raw []byte) (*Config, error) {
	var f struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: or(f.Name, "GW_NAME"), Listen: or(f.Listen, "GW_LISTEN"),
		Discovery: or(f.Discovery, "GW_DISCOVERY"), MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := endpoint.CheckAddress(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMB < 0 || c.Sockets < 0 {
		return nil, errors.New("limits: negative")
	}
	if f.Settings == nil {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Names, err = ParseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, err := balancer.New(c.Settings, c.Seed); err != nil { // read again while serving, it must not pass either
		return nil, SettingsError(err)
	}
	if f.Known != nil {
		if c.Known, err = endpoint.ParseList(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

func or(v, env string) string {
	if v == "" {
		return os.Getenv(env)
	}
	return v
}

// Package config reads and checks the agent's configuration, including the settings of the decision module.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

// The environment variables that stand in for keys that the configuration file leaves empty.
const (
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
)

// ErrIncomplete marks the text of a configuration that ends too early: it may be just being written.
var ErrIncomplete = errors.New("incomplete configuration")

// Config is a checked configuration.
type Config struct {
	Name      string
	Listen    string // host:port that clients connect to
	Discovery string // host:port of the discovery service
	Seed      uint64 // of all random choices
	MemoryMB  int    // 0: no limit
	Sockets   int    // file descriptors that the process may hold; 0: no limit
	Settings  balancer.Settings
	Names     Names
	Known     endpoint.List // the endpoints as last known; may be out of date
}

// file is the configuration file as it is written.
type file struct {
	Name      string
	Listen    string
	Discovery string
	Seed      string // hexadecimal
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64
	}
	Known    json.RawMessage // as discovery writes a list
	Settings json.RawMessage
}

// Load reads the configuration file at path. A name or address that it leaves empty comes from the environment.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the file already
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.Sockets, err = descriptorLimit(c.Sockets); err != nil {
		return nil, err
	}
	return c, nil
}

// Parse reads the text of a configuration file and checks it.
func Parse(raw []byte) (*Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		var syntaxError *json.SyntaxError
		if errors.As(err, &syntaxError) && syntaxError.Offset == int64(len(raw)) {
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		return nil, err
	}
	c := &Config{
		Name:      valueOrEnv(f.Name, envName),
		Listen:    valueOrEnv(f.Listen, envListen),
		Discovery: valueOrEnv(f.Discovery, envDiscovery),
		MemoryMB:  int(min(f.Limits.MemoryMB, math.MaxInt32)),
		Sockets:   int(min(f.Limits.Sockets, math.MaxInt32)),
	}
	if err := endpoint.CheckAddress(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := endpoint.CheckAddress(c.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMB < 0 || c.Sockets < 0 {
		return nil, errors.New("limits: negative")
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	if err := c.parseKnown(f.Known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return c, nil
}

func (c *Config) parseSettings(raw json.RawMessage) (err error) {
	if raw == nil {
		return errors.New("settings: missing")
	}
	if c.Settings, c.Names, err = ParseSettings(raw); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	// A reload must reject what a start would reject, so the module checks the settings here already.
	if _, err := balancer.New(c.Settings, c.Seed); err != nil {
		return SettingsError(err)
	}
	return nil
}

func (c *Config) parseKnown(raw json.RawMessage) (err error) {
	if raw == nil {
		return nil
	}
	c.Known, err = endpoint.ParseList(raw)
	return err
}

func valueOrEnv(value, variable string) string {
	if value == "" {
		return os.Getenv(variable)
	}
	return value
}

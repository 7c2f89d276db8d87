// Package config reads and checks the agent's configuration, including the settings of the decision module.
// The names on the wire are mapped to the terms of the code here (mapping.go), and errors use the names on the wire.
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

// The keys of the configuration file that errors name.
const (
	keyListen    = "listen"
	keyDiscovery = "discovery"
	keySeed      = "seed"
	keyLimits    = "limits"
	keySettings  = "settings"
	keyKnown     = "known"
)

// seedBase and seedBits are the form of the seed in the configuration file.
const (
	seedBase = 16
	seedBits = 64
)

// Config is a checked configuration.
type Config struct {
	Name      string
	Listen    string // host:port that clients connect to
	Discovery string // host:port of the discovery service
	Seed      uint64 // of all random choices
	MemoryMB  int    // memory that the process may use; 0: no limit
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

// Parse reads the text of a configuration file and checks it. Unless the text is not JSON of the right types, an
// error is a *KeyError, or a *balancer.SettingError for a setting out of range.
func Parse(raw []byte) (*Config, error) {
	f, err := decode(raw)
	if err != nil {
		return nil, err
	}
	c := &Config{Name: valueOrEnv(f.Name, envName)}
	for _, parse := range []func(*file) error{
		c.parseAddresses, c.parseSeed, c.parseLimits, c.parseSettings, c.parseKnown,
	} {
		if err := parse(f); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// decode returns an error that wraps ErrIncomplete if the text ends too early.
func decode(raw []byte) (*file, error) {
	var f file
	err := json.Unmarshal(raw, &f)
	if syntaxError, ok := errors.AsType[*json.SyntaxError](err); ok && syntaxError.Offset == int64(len(raw)) {
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if err != nil {
		return nil, err
	}
	return &f, nil
}

func (c *Config) parseAddresses(f *file) error {
	c.Listen = valueOrEnv(f.Listen, envListen)
	if err := endpoint.CheckAddress(c.Listen); err != nil {
		return &KeyError{Key: keyListen, Err: err}
	}
	c.Discovery = valueOrEnv(f.Discovery, envDiscovery)
	if err := endpoint.CheckAddress(c.Discovery); err != nil {
		return &KeyError{Key: keyDiscovery, Err: err}
	}
	return nil
}

func (c *Config) parseSeed(f *file) (err error) {
	if c.Seed, err = strconv.ParseUint(f.Seed, seedBase, seedBits); err != nil {
		return &KeyError{Key: keySeed, Err: err}
	}
	return nil
}

// parseLimits drops fractions; a limit that is larger than any int32 binds nothing.
func (c *Config) parseLimits(f *file) error {
	c.MemoryMB = int(min(f.Limits.MemoryMB, math.MaxInt32))
	c.Sockets = int(min(f.Limits.Sockets, math.MaxInt32))
	if c.MemoryMB < 0 || c.Sockets < 0 {
		return &KeyError{Key: keyLimits, Err: errNegative}
	}
	return nil
}

func (c *Config) parseSettings(f *file) (err error) {
	if f.Settings == nil {
		return &KeyError{Key: keySettings, Err: errMissing}
	}
	if c.Settings, c.Names, err = ParseSettings(f.Settings); err != nil {
		return &KeyError{Key: keySettings, Err: err}
	}
	// A reload must reject what a start would reject, so the module checks the settings here already.
	if _, err := balancer.New(c.Settings, c.Seed); err != nil {
		return WithWireKey(err)
	}
	return nil
}

func (c *Config) parseKnown(f *file) (err error) {
	if f.Known == nil {
		return nil
	}
	if c.Known, err = endpoint.ParseList(f.Known); err != nil {
		return &KeyError{Key: keyKnown, Err: err}
	}
	return nil
}

func valueOrEnv(value, variable string) string {
	if value == "" {
		return os.Getenv(variable)
	}
	return value
}

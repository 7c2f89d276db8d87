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
	Name        string
	Listen      string // host:port that clients connect to
	Discovery   string // host:port of the discovery service
	Seed        uint64 // of all random choices
	MaxMemoryMB int    // memory that the process may use; 0: no limit
	// MaxDescriptors is how many file descriptors the process may hold; 0: no limit. Key limits.sockets.
	MaxDescriptors int
	Settings       balancer.Settings
	Names          Names
	CachedList     endpoint.List // the endpoints as last known, which may be stale; key known
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
	if c.MaxDescriptors, err = effectiveMaxDescriptors(c.MaxDescriptors); err != nil {
		return nil, err
	}
	return c, nil
}

// Parse reads the text of a configuration file and checks it. An error is a *KeyError, or a *balancer.SettingError for
// a setting out of range. For text that is not JSON of the right types it is one of encoding/json, with ErrIncomplete
// in front where the text ends too early. Descriptors is the configured limit alone; Load applies the system's.
func Parse(raw []byte) (*Config, error) {
	f, err := decode(raw)
	if err != nil {
		return nil, err
	}
	c := &Config{Name: valueOrEnv(f.Name, envName)}
	for _, parse := range []func(*file) error{
		c.parseAddresses, c.parseSeed, c.parseLimits, c.parseSettings, c.parseCachedList,
	} {
		if err := parse(f); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// decode reads the text into the form of the file. Its error wraps ErrIncomplete if the text ends too early.
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
	if err := endpoint.ValidateAddress(c.Listen); err != nil {
		return &KeyError{Key: keyListen, Err: err}
	}
	c.Discovery = valueOrEnv(f.Discovery, envDiscovery)
	if err := endpoint.ValidateAddress(c.Discovery); err != nil {
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
	c.MaxMemoryMB = int(min(f.Limits.MemoryMB, math.MaxInt32))
	c.MaxDescriptors = int(min(f.Limits.Sockets, math.MaxInt32))
	if c.MaxMemoryMB < 0 || c.MaxDescriptors < 0 {
		return &KeyError{Key: keyLimits, Err: errNegative}
	}
	return nil
}

// parseSettings returns a *KeyError for an object that is missing or can't be read, and a *balancer.SettingError, with
// the key on the wire, for a value that the decision module rejects.
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

func (c *Config) parseCachedList(f *file) (err error) {
	if f.Known == nil {
		return nil
	}
	if c.CachedList, err = endpoint.ParseList(f.Known); err != nil {
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

// Package config reads and validates the agent's configuration, including the settings of the decision module.
// It maps the names on the wire to the terms of the code (mapping.go). Its errors contain the names on the wire.
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

// The environment variables whose values replace empty keys of the configuration file.
const (
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
)

// The keys of the configuration file that appear in errors.
const (
	keyListen    = "listen"
	keyDiscovery = "discovery"
	keySeed      = "seed"
	keyLimits    = "limits"
	keySettings  = "settings"
	keyKnown     = "known"
)

// The base and the size of the seed in the configuration file.
const (
	seedBase = 16
	seedBits = 64
)

// Config is a validated configuration.
type Config struct {
	Name        string
	Listen      string // host:port that clients connect to
	Discovery   string // host:port of the discovery service
	Seed        uint64 // seed of all random choices
	MaxMemoryMB int    // memory limit of the process in MiB; 0: no limit. Key limits.memory_mb.
	// MaxDescriptors is the maximum number of open file descriptors; 0: no limit. Key limits.sockets.
	MaxDescriptors int
	Settings       balancer.Settings
	Names          Names
	CachedList     endpoint.List // the last known endpoints, which may be out of date; key known
}

// file is the configuration file in its JSON form.
type file struct {
	Name      string
	Listen    string // address on which clients connect, as host:port
	Discovery string // address of the discovery service, as host:port
	Seed      string // hexadecimal
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64
	}
	Known    json.RawMessage // an endpoint list in the format of discovery
	Settings json.RawMessage
}

// Load reads the configuration file at path. A name or address that is empty in the file is taken from the environment.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err // err contains the path
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

// Parse parses and validates the text of a configuration file. The error is a *KeyError, or a *balancer.SettingError
// for a setting out of range. If the text is not JSON of the right types, it is an error of encoding/json, which is
// wrapped together with ErrIncomplete if the text is truncated. MaxDescriptors is the configured limit; Load also
// applies the limit of the system.
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

// decode decodes the text of a configuration file. The error wraps ErrIncomplete if the text is truncated.
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

// parseLimits discards fractions, and caps limits at math.MaxInt32, which is far above any effective limit.
func (c *Config) parseLimits(f *file) error {
	c.MaxMemoryMB = int(min(f.Limits.MemoryMB, math.MaxInt32))
	c.MaxDescriptors = int(min(f.Limits.Sockets, math.MaxInt32))
	if c.MaxMemoryMB < 0 || c.MaxDescriptors < 0 {
		return &KeyError{
			Key: keyLimits,
			Err: fmt.Errorf("%w, got memory_mb %d and sockets %d", errNegative, c.MaxMemoryMB, c.MaxDescriptors),
		}
	}
	return nil
}

// parseSettings returns a *KeyError if the settings object is missing or can't be decoded. If the decision module
// rejects a value, it returns a *balancer.SettingError with the key on the wire.
func (c *Config) parseSettings(f *file) (err error) {
	if f.Settings == nil {
		return &KeyError{Key: keySettings, Err: errMissing}
	}
	if c.Settings, c.Names, err = ParseSettings(f.Settings); err != nil {
		return &KeyError{Key: keySettings, Err: err}
	}
	// The settings are validated here, so that a reload rejects the same configurations as a start.
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

// valueOrEnv returns value, or the value of the environment variable if value is empty.
func valueOrEnv(value, variable string) string {
	if value == "" {
		return os.Getenv(variable)
	}
	return value
}

package config_test

import (
	"errors"
	"regexp"
	"strconv"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/config"
	"ashshunt/internal/testutil"
)

// extremeNumbers matches the numbers of a settings object that the test replaces by extreme values.
var extremeNumbers = regexp.MustCompile(
	`"(\w*Ms|Worth|TryLimit|MaxOpen|QuotaPerS|CpuUsPerS|Balancers|Portion|StreamsPerConn)":([0-9.]+)`)

// Extreme numbers in the settings are either accepted or rejected with a *balancer.SettingError, and no accepted number
// makes the decision module panic. Numbers of at least 1e12 must be accepted unless the key requires a whole number.
func TestExtremeSettings(t *testing.T) {
	for _, number := range []string{"0", "1e-9", "1e12", "1e15", "1e18", "1e300"} {
		for _, match := range extremeNumbers.FindAllStringSubmatchIndex(testutil.SettingsJSON, -1) {
			key := testutil.SettingsJSON[match[2]:match[3]]
			text := testutil.SettingsJSON[:match[4]] + number + testutil.SettingsJSON[match[5]:]
			settings, _, err := config.ParseSettings([]byte(text))
			if err != nil {
				continue // the key requires a whole number
			}
			module, err := balancer.New(settings, 1)
			var outOfRange *balancer.SettingError
			if err != nil {
				if !errors.As(err, &outOfRange) || number != "0" && number != "1e-9" {
					t.Errorf("%s: %s: got error %v, want none, or a *balancer.SettingError for a small number",
						key, number, err)
				}
				continue
			}
			runSteps(module, settings)
		}
	}
}

// runSteps sends events to a module and reports the outcome of each attempt that it starts.
func runSteps(module *balancer.Balancer, settings balancer.Settings) {
	now := 24 * time.Hour
	list := balancer.EndpointList{Kind: balancer.ListCached}
	for i := range 8 {
		list.Endpoints = append(list.Endpoints, balancer.Endpoint{
			ID: strconv.Itoa(i), StartedAt: time.Duration(i) * 3 * time.Hour})
	}
	module.Step(now, []balancer.Event{list})
	results := []balancer.Result{balancer.Served, balancer.TimedOut, balancer.ConnectFailed, balancer.Rejected,
		balancer.Reset, balancer.LocalFailure, balancer.ServerError, balancer.NotSent}
	for i := range 200 {
		id := strconv.Itoa(i)
		request := balancer.Request{ID: id, Class: i % len(settings.Classes), Timeout: time.Second, Key: id}
		attempts := 0
		for _, action := range module.Step(now, []balancer.Event{request}) {
			if send, ok := action.(balancer.Send); ok {
				module.Step(now, []balancer.Event{balancer.Outcome{
					Request: id, Attempt: attempts, Endpoint: send.Endpoint,
					Result: results[i/3%len(results)], Latency: 10 * time.Millisecond}})
				attempts++
			}
		}
		now += 20 * time.Millisecond
	}
}

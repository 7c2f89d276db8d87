package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"ashshunt/balancer"
)

// allNumericSettings is a settings object with all numeric settings.
const allNumericSettings = `{"Balancers":3,"Me":1,"Zone":2,"Tier":1,"OverShareWorth":0.05,"TickMs":5,
 "Profiles":[{"AimMs":400,"DeadlineMs":1500,"Worth":3,"LateValue":0.25,"Semantics":"once",
  "WindowMs":3000,"AimStretch":2}],
 "Tenants":[{"Portion":0.28,"QuotaPerS":11}],
 "PolicyLimits":{"TryLimit":4,"MaxRetryAfterMs":1500,"ConnectTimeoutMs":250,"IdleCloseMs":60000,"MaxOpen":20000,
  "StreamsPerConn":1,"CpuUsPerS":8000,"CpuUsPerRequest":10},
 "Contract":{"DrainGraceMs":500,"GraceToAnswerMs":20,"AskWithinMs":10000,"ColdFrom":0.16,"RampTimeMs":20000,
  "FallMultiple":2.5,"FallMs":1000,"KeyRestMs":200},
 "Goal":{"Whole":0.55,"WorstWindow":0.15,"WorstClass":0.3,"WorstTenant":0.25},
 "Prices":{"CrossZone":0.02,"Waste":0.15,"LateFail":0.08,"Probe":0.01,"Peer":0.03,"Handshake":0.04,"Connection":0.05,
  "MembershipMode":0.06,"Moves":0.07,"Origin":0.09,"Fleet":0.11}}`

// An error about a setting must contain the path of the setting on the wire, not that within balancer.Settings.
func TestWithWireKey(t *testing.T) {
	var object map[string]any
	if err := json.Unmarshal([]byte(allNumericSettings), &object); err != nil {
		t.Fatal(err)
	}
	forEachNumber(object, "", func(path string, set func(number float64)) {
		set(-1)
		raw, err := json.Marshal(object)
		if err != nil {
			t.Fatal(err)
		}
		settings, _, err := ParseSettings(raw)
		if err != nil {
			t.Fatal(err)
		}
		_, err = balancer.New(settings, 1)
		var setting *balancer.SettingError
		if err = WithWireKey(err); !errors.As(err, &setting) || setting.Field != path {
			t.Errorf("%s is negative: got error %v, want a *balancer.SettingError for this path", path, err)
		}
	})
}

// forEachNumber calls visit for each number in a decoded JSON object. It restores the number after the call.
func forEachNumber(object map[string]any, path string, visit func(path string, set func(number float64))) {
	for key, value := range object {
		switch value := value.(type) {
		case float64:
			visit(path+key, func(number float64) { object[key] = number })
			object[key] = value
		case map[string]any:
			forEachNumber(value, path+key+".", visit)
		case []any:
			for i, element := range value {
				if element, ok := element.(map[string]any); ok {
					forEachNumber(element, fmt.Sprintf("%s%s[%d].", path, key, i), visit)
				}
			}
		}
	}
}

package config

import (
	"encoding/json"

	"ashshunt/balancer"
)

// Names holds the names of the classes, tenants, zones and machine kinds, which the decision module refers to by index.
type Names struct {
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string
}

// ParseSettings parses the settings object, which has the same form in the configuration file and in the simulator's
// OpenInstance message. It ignores unknown keys, which later versions may add. The error is one of encoding/json or an
// *UnknownWordError. Whether the values are in range is validated by balancer.New.
func ParseSettings(raw []byte) (balancer.Settings, Names, error) {
	var object settingsObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return balancer.Settings{}, Names{}, err
	}
	settings, err := object.toSettings()
	return settings, object.names(), err
}

func (o *settingsObject) names() Names {
	names := Names{Zones: o.Dcs, Kinds: o.Kinds}
	for _, class := range o.Profiles {
		names.Classes = append(names.Classes, class.Name)
	}
	for _, tenant := range o.Tenants {
		names.Tenants = append(names.Tenants, tenant.Name)
	}
	return names
}

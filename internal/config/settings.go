package config

import (
	"encoding/json"

	"ashshunt/balancer"
)

// Names are the words of the settings object for what the decision module knows by position.
type Names struct {
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string
}

// ParseSettings converts the settings object, which a configuration file and the simulator's first message hold in
// the same form. Keys that it does not know are ignored, since later versions of the object may add some. An error is
// one of encoding/json or an *UnknownWordError; balancer.New checks the values.
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

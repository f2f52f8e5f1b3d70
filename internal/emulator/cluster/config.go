package cluster

import (
	"encoding/json"
	"fmt"

	"wheatlane/internal/emulator/changelogserver"
)

// deploymentSettings are the settings of the deployment, in the platform's format.
const deploymentSettings = `{"PeersTotal":1,"RoundNs":5000000,"MachineTypes":["` + EngineKind + `"],
 "Domain":{"SizeCores":[8],"KindMemoryMb":[16384],"WidthByClass":[1,4,2],"ClassLoad":[false,false,true],
  "YieldsToLoads":[true,false,false],"SaysCost":true},
 "Stats":{"Fields":["queue","x1","x0"]},
 "Limits":{"Cancel":true,"MaxAttempts":4,"MaxRetryAfterNs":500000000,"RetryAfter":true,"ParallelTries":true,
  "Probing":true,"ConnectTimeoutNs":250000000,"ConnIdleNs":30000000000,"MaxStreams":100},
 "Rules":{"ColdFrom":0.33,"WarmAfterNs":15000000000,"FallMultiple":2.5,"FallNs":1000000000},
 "Tenants":[{"Name":"fishing-fleet","Share":0.59},{"Name":"harbour-office","Share":0.41}],
 "RequestClasses":[
  {"Name":"lookup","Effect":"repeatable","PromiseNs":400000000,"AimStretch":1.5,"GiveUpNs":2000000000,
   "Worth":1,"LateWorth":0.3},
  {"Name":"route-report","Effect":"repeatable","PromiseNs":2000000000,"AimStretch":2.5,"GiveUpNs":20000000000,
   "Worth":15,"LateWorth":0.3},
  {"Name":"survey-load","Effect":"by_key","WindowNs":15000000000,"PromiseNs":3000000000,"AimStretch":3,
   "GiveUpNs":25000000000,"Worth":20,"LateWorth":0.3,"ByArrival":true}]}`

// Tenants are the tenants of the deployment settings.
var Tenants = []string{"fishing-fleet", "harbour-office"}

// limits holds the resource limits in a broker's configuration.
type limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// configuration is a broker's configuration in the platform's format.
type configuration struct {
	Changelog string          `json:"changelog"`
	Known     json.RawMessage `json:"known"`
	Limits    limits          `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Seed      string          `json:"seed"`
	Settings  json.RawMessage `json:"settings"`
}

// Configuration returns the configuration file of a broker that uses a change log. The broker listens at a free
// loopback port.
func Configuration(name string, seed uint64, changes *changelogserver.ChangeLog) ([]byte, error) {
	known, err := changes.KnownPage()
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(configuration{
		Changelog: changes.Addr(),
		Known:     known,
		Limits:    limits{MemoryMB: 192, Sockets: 1024},
		Listen:    "127.0.0.1:0",
		Name:      name,
		Seed:      fmt.Sprintf("%x", seed),
		Settings:  json.RawMessage(deploymentSettings),
	}, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return append(text, '\n'), nil
}

package simwire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
)

// allSettings is a settings object with all keys, the unknown key Later and the unknown load report field "later".
const allSettings = `{"Balancers":3,"Me":1,"Zone":2,"CountedBy":"work","MembershipMode":"subscribe",
"TickMs":5,"Later":[1],
"Profiles":[{"Name":"x","AimMs":400,"DeadlineMs":1500,"Worth":3,"LateValue":0.25,"Semantics":"by_key","Group":"cell",
 "WindowMs":3000,"KeepOrder":true,"AimStretch":1.5,"Stream":true}],
"Dcs":["a","b","c"],"Kinds":["k"],"Tier":1,"Tiers":["s","t"],"Weights":"rough","Clients":{"MarksRetry":true},
"FamilyInfo":{"WarmKeys":true,"PassesDeadline":true},"OverShareWorth":0.05,
"Tenants":[{"Name":"z","Portion":0.28,"QuotaPerS":11}],
"Report":{"Source":"on_probe","Fields":["outstanding","backlog","later"]},
"PolicyLimits":{"MaxOpen":20000,"StreamsPerConn":1,"CpuUsPerS":8000,"CpuUsPerRequest":10,"MayProbe":true,"Cancel":true,
 "RetryAfter":true,"ConnectTimeoutMs":250,"TryLimit":4,"IdleCloseMs":60000,"SecondCopies":true,"Peers":true,
 "MaxRetryAfterMs":1500},
"Contract":{"ColdFrom":0.16,"DrainGraceMs":500,"FallMs":1000,"FallMultiple":2.5,"RampTimeMs":20000,"AskWithinMs":10000,
 "GraceToAnswerMs":20,"BusyIsNoProof":true,"KeyRestMs":200},
"Goal":{"Whole":0.55,"WorstClass":0.3,"WorstWindow":0.15,"WorstTenant":0.25},
"Prices":{"CrossZone":0.02,"Waste":0.15,"LateFail":0.08,"Probe":0.01,"Peer":0.03,"Handshake":0.04,"Connection":0.05,
 "MembershipMode":0.06,"Moves":0.07,"Origin":0.09,"Fleet":0.11}}`

func TestDecodeSettings(t *testing.T) {
	b, err := NewReader(strings.NewReader(batchOf(openInstance(77, allSettings)))).Next()
	if err != nil {
		t.Fatal(err)
	}
	want := balancer.Settings{
		Agents: 3, AgentIndex: 1, Zone: 2, PriorityByWork: true, Subscribe: true, Tick: 5 * ms,
		Classes: []balancer.Class{{Objective: 400 * ms, Deadline: 1500 * ms, Priority: 3, LatePriority: 0.25,
			Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupInCell, DedupWindow: 3 * time.Second,
			Ordered: true, ObjectiveStretch: 1.5, Streamed: true}},
		Zones: 3, Kinds: 1, Tier: 1, Tiers: 2, Weights: balancer.WeightsRough, MarksRetry: true, CacheAffinity: true,
		PassesDeadline: true, OverQuotaPriority: 0.05, Tenants: []balancer.Tenant{{Share: 0.28, Quota: 11}},
		LoadReports:      balancer.LoadReportsWithHealthChecks,
		LoadReportFields: balancer.FieldInFlight | balancer.FieldQueue,
		MaxOpen:          20000, StreamsPerConn: 1, CPUPerSecond: 8 * ms, CPUPerRequest: 10 * time.Microsecond,
		AllowHealthChecks: true, AllowCancel: true, SendRetryAfter: true, ConnectTimeout: 250 * ms,
		RejectedMayHaveRun: true, KeyQuietPeriod: 200 * ms, GoalWorstTenant: 0.25,
		WastePrice: 0.15, LateFailPrice: 0.08, HealthCheckPrice: 0.01, GossipPrice: 0.03, HandshakePrice: 0.04,
		ConnectionPrice: 0.05, PollPrice: 0.06, MigrationPrice: 0.07, OriginPrice: 0.09, FleetPrice: 0.11,
		MaxAttempts: 4, AllowHedging: true, AllowGossip: true, MaxRetryAfter: 1500 * ms, IdleClose: time.Minute,
		DrainGrace: 500 * ms, ResponseGrace: 20 * ms, PollWithin: 10 * time.Second, SlowStartMinCapacity: 0.16,
		SlowStartDuration: 20 * time.Second, SlowStartOverloadMultiple: 2.5, SlowStartOverloadWindow: time.Second,
		GoalOverall: 0.55, GoalWorstWindow: 0.15, GoalWorstClass: 0.3, CrossZonePrice: 0.02,
	}
	if o := b.Events[0].Open; o == nil || o.Seed != 77 || !reflect.DeepEqual(o.Settings, want) {
		t.Errorf("got %+v\nwant %+v", o, want)
	}
}

package description

import "time"

// Settings of generated files that a description can't change.
const (
	minBatchInterval  = 5 * time.Millisecond
	maxAttempts       = 4
	maxRetryAfter     = 500 * time.Millisecond
	connectTimeout    = 250 * time.Millisecond
	connIdleTimeout   = 30 * time.Second
	maxStreams        = 100
	slowStartInitial  = 0.33 // fraction of its capacity that an engine has when it starts
	slowStartDuration = 15 * time.Second
	overloadMultiple  = 2.5 // multiple of its capacity at which an engine in slow start fails
	overloadWindow    = time.Second
)

// Defaults of optional keys of a description.
const (
	defaultBrokers       = 1
	defaultDedupWindowMS = 15000
	defaultThreads       = 1
	defaultMemoryMB      = 192
	defaultSockets       = 1024 // file descriptors
)

// Values of the key repeat of a description.
const (
	repeatFree  = "free"
	repeatByKey = "by_key"
	repeatNever = "never"
)

// platformEffects maps values of repeat to those of Effect in the platform's file. By default, requests are idempotent.
var platformEffects = map[string]string{
	"":          "repeatable",
	repeatFree:  "repeatable",
	repeatByKey: "by_key",
	repeatNever: "once",
}

// These types encode the platform's file. Their fields are in the alphabetical order of the keys.
type (
	platformFile struct {
		Provenance string           `json:"$made"`
		Changelog  string           `json:"changelog"`
		Limits     platformLimits   `json:"limits"`
		Listen     string           `json:"listen"`
		Name       string           `json:"name"`
		Settings   platformSettings `json:"settings"`
	}

	platformLimits struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	}

	platformSettings struct {
		Domain           platformDomain
		Limits           platformRequestLimits
		EngineKinds      []string        `json:"MachineTypes"`
		Brokers          int             `json:"PeersTotal"`
		BrokerIndex      int             `json:"Position"`
		Classes          []platformClass `json:"RequestClasses"`
		MinBatchInterval time.Duration   `json:"RoundNs"`
		Rules            platformRules
		Tenants          []platformTenant
	}

	platformDomain struct {
		HoldsDataSetLock     []bool    `json:"ClassLoad"`    // by class
		MemoryMB             []float64 `json:"KindMemoryMb"` // by engine kind
		ReportsCost          bool      `json:"SaysCost"`
		Cores                []float64 `json:"SizeCores"`     // by engine kind
		Threads              []int     `json:"WidthByClass"`  // by class
		BlockedByDataSetLock []bool    `json:"YieldsToLoads"` // by class
	}

	platformRequestLimits struct {
		Cancellation    bool          `json:"Cancel"`
		ConnIdleTimeout time.Duration `json:"ConnIdleNs"`
		ConnectTimeout  time.Duration `json:"ConnectTimeoutNs"`
		MaxAttempts     int
		MaxRetryAfter   time.Duration `json:"MaxRetryAfterNs"`
		MaxStreams      int
		Hedging         bool `json:"ParallelTries"`
		RetryAfter      bool
	}

	platformClass struct {
		ObjectivePerWork float64 `json:"AimStretch"`
		Ordered          bool    `json:"ByArrival"`
		Effect           string
		ClientTimeout    time.Duration `json:"GiveUpNs"`
		LateWeight       float64       `json:"LateWorth"`
		Name             string
		LatencyObjective time.Duration  `json:"PromiseNs"`
		DedupWindow      *time.Duration `json:"WindowNs,omitempty"` // only for by_key
		PriorityWeight   float64        `json:"Worth"`
	}

	platformRules struct {
		SlowStartInitial  float64       `json:"ColdFrom"`
		OverloadMultiple  float64       `json:"FallMultiple"`
		OverloadWindow    time.Duration `json:"FallNs"`
		SlowStartDuration time.Duration `json:"WarmAfterNs"`
	}

	platformTenant struct {
		Name  string
		Share float64
	}
)

// BrokerFile generates the broker's configuration in the platform's format.
func (a *Application) BrokerFile(provenance string) ([]byte, error) {
	return marshal(platformFile{
		Provenance: provenance,
		Name:       a.Name,
		Listen:     a.Listen,
		Changelog:  a.Changelog,
		Limits: platformLimits{
			MemoryMB: valueOr(a.Resources.MemoryMB, defaultMemoryMB),
			Sockets:  valueOr(a.Resources.Sockets, defaultSockets),
		},
		Settings: platformSettings{
			Brokers:          valueOr(a.Brokers, defaultBrokers),
			BrokerIndex:      a.BrokerIndex,
			MinBatchInterval: minBatchInterval,
			EngineKinds:      mapAll(a.EngineKinds, func(kind EngineKind) string { return kind.Name }),
			Classes:          mapAll(a.Classes, platformClassOf),
			Tenants: mapAll(
				a.Tenants, func(tenant Tenant) platformTenant { return platformTenant(tenant) },
			),
			Domain: a.platformDomain(),
			Limits: platformRequestLimits{
				MaxAttempts:     maxAttempts,
				MaxRetryAfter:   maxRetryAfter,
				RetryAfter:      true,
				Cancellation:    true,
				Hedging:         true,
				ConnectTimeout:  connectTimeout,
				ConnIdleTimeout: connIdleTimeout,
				MaxStreams:      maxStreams,
			},
			Rules: platformRules{
				SlowStartInitial:  slowStartInitial,
				SlowStartDuration: slowStartDuration,
				OverloadMultiple:  overloadMultiple,
				OverloadWindow:    overloadWindow,
			},
		},
	})
}

// platformClassOf converts a class to the platform's format.
func platformClassOf(c Class) platformClass {
	class := platformClass{
		Name:             c.Name,
		LatencyObjective: fromMS(c.LatencyObjectiveMS),
		ClientTimeout:    fromMS(c.ClientTimeoutMS),
		ObjectivePerWork: c.ObjectivePerWork,
		PriorityWeight:   c.PriorityWeight,
		LateWeight:       c.LateWeight,
		Effect:           platformEffects[c.Idempotency],
		Ordered:          c.Ordered,
	}
	if c.Idempotency == repeatByKey {
		window := fromMS(valueOr(c.DedupWindowMS, defaultDedupWindowMS))
		class.DedupWindow = &window
	}
	return class
}

// platformDomain returns the lists of the platform's file that are indexed by class or by engine kind.
func (a *Application) platformDomain() platformDomain {
	return platformDomain{
		Threads: mapAll(
			a.Classes, func(class Class) int { return valueOr(class.Threads, defaultThreads) },
		),
		HoldsDataSetLock:     mapAll(a.Classes, func(class Class) bool { return class.HoldsDataSetLock }),
		BlockedByDataSetLock: mapAll(a.Classes, func(class Class) bool { return class.BlockedByDataSetLock }),
		Cores:                mapAll(a.EngineKinds, func(kind EngineKind) float64 { return kind.Cores }),
		MemoryMB:             mapAll(a.EngineKinds, func(kind EngineKind) float64 { return kind.MemoryMB }),
		ReportsCost:          true,
	}
}

// mapAll applies a function to all elements. The result is never nil, so that it is encoded as a JSON array, not null.
func mapAll[T, U any](elements []T, f func(T) U) []U {
	results := make([]U, 0, len(elements))
	for _, element := range elements {
		results = append(results, f(element))
	}
	return results
}

// valueOr returns a value, or the default if the value is zero.
func valueOr[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// fromMS converts milliseconds to a duration.
func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

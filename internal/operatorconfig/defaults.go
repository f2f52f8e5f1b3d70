package operatorconfig

// Defaults of optional keys. The limits tags of the fields repeat them for the schema.
const (
	DefaultIntervalMS = 10_000 // milliseconds

	defaultClasses  = 16
	defaultTenants  = 32
	defaultEngines  = 32
	defaultDataSets = 32
	DefaultIdleS    = 600 // seconds

	defaultProtocol         = "plaintext"
	defaultPrefix           = "wheatlane"
	defaultGraphiteBudgetKB = 512
	defaultReplayKBps       = 64
	defaultWriteTimeoutMS   = 5000

	defaultSecurity         = securityNone
	defaultCollectdBudgetKB = 256
)

// setDefault sets a value to its default if it is zero.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func (t *Telemetry) applyDefaults() {
	setDefault(&t.IntervalMS, DefaultIntervalMS)
	t.Cardinality.applyDefaults()
	for i := range t.Graphite {
		t.Graphite[i].applyDefaults()
	}
	for i := range t.Collectd {
		t.Collectd[i].applyDefaults()
	}
}

func (l *CardinalityLimits) applyDefaults() {
	setDefault(&l.Classes, defaultClasses)
	setDefault(&l.Tenants, defaultTenants)
	setDefault(&l.Engines, defaultEngines)
	setDefault(&l.DataSets, defaultDataSets)
	setDefault(&l.IdleS, DefaultIdleS)
}

func (g *Graphite) applyDefaults() {
	setDefault(&g.Protocol, defaultProtocol)
	setDefault(&g.Prefix, defaultPrefix)
	setDefault(&g.BudgetKB, defaultGraphiteBudgetKB)
	setDefault(&g.ReplayKBps, defaultReplayKBps)
	setDefault(&g.WriteTimeoutMS, defaultWriteTimeoutMS)
}

func (c *Collectd) applyDefaults() {
	setDefault(&c.Security, defaultSecurity)
	setDefault(&c.BudgetKB, defaultCollectdBudgetKB)
}

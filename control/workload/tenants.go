package workload

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// Tenant configures one tenant.
type Tenant struct {
	Name  string
	Share units.Fraction  // share of each class's service; shares of the known tenants sum to 1
	Quota units.PerSecond // rate of requests within its share, over all brokers
}

// Tenants holds the tenants and their traffic at this broker. The last tenant stands for all unknown tenants.
type Tenants struct {
	all    []tenant
	byName map[string]int
}

type tenant struct {
	Tenant
	arrivals int // number of requests in this interval
	rate     units.PerSecond
}

// newTenants returns the known tenants and one tenant for all unknown ones, which has the smallest share of
// any known tenant. The shares then sum to slightly over 1, which is valid as fair queues use them as
// weights.
func newTenants(config Config, known []Tenant) Tenants {
	t := Tenants{byName: make(map[string]int, len(known))}
	unknown := Tenant{Share: 1}
	for i, settings := range known {
		t.byName[settings.Name] = i
		settings.Share = max(settings.Share, config.MinTenantShare)
		unknown.Share = min(unknown.Share, settings.Share)
		t.all = append(t.all, tenant{Tenant: settings})
	}
	t.all = append(t.all, tenant{Tenant: unknown})
	return t
}

// Len returns the number of tenants, including the one that stands for all unknown tenants.
func (t *Tenants) Len() int { return len(t.all) }

// Index returns the index of the tenant with a name. All unknown names have the same index.
func (t *Tenants) Index(name string) int {
	if i, known := t.byName[name]; known {
		return i
	}
	return len(t.all) - 1
}

// Share returns a tenant's share of each class's service.
func (t *Tenants) Share(index int) units.Fraction { return t.all[index].Share }

// Arrivals returns the number of a tenant's requests in this interval.
func (t *Tenants) Arrivals(index int) int { return t.all[index].arrivals }

func (t *Tenants) requestReceived(index int) { t.all[index].arrivals++ }

// closeInterval updates the rates and returns the sums of the rates and of the quotas.
func (t *Tenants) closeInterval(elapsed time.Duration, weight float64) (rate, quota units.PerSecond) {
	for i := range t.all {
		current := &t.all[i]
		current.rate = estimate.EWMA(current.rate, units.Rate(current.arrivals, elapsed), weight)
		current.arrivals = 0
		rate += current.rate
		quota += current.Quota
	}
	return rate, quota
}

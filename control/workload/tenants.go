package workload

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// Tenant describes one customer.
type Tenant struct {
	Name  string
	Share units.Fraction  // of the service that each class gets; 1 in sum over the named tenants
	Quota units.PerSecond // requests within its share, over all brokers
}

// Tenants holds the tenants with their traffic at this broker. The last one stands for all that are unknown.
type Tenants struct {
	all    []tenant
	byName map[string]int
}

type tenant struct {
	Tenant
	arrivals int // in this interval
	rate     units.PerSecond
}

// newTenants adds a tenant for all unknown ones, with the smallest share of a known one. That comes on top:
// the shares sum to a little over 1 then, which fair queues take as weights.
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

// Len is the number of tenants, with the one that stands for the unknown.
func (t *Tenants) Len() int { return len(t.all) }

// Index is the index of a tenant by its name.
func (t *Tenants) Index(name string) int {
	if i, known := t.byName[name]; known {
		return i
	}
	return len(t.all) - 1
}

// Share is a tenant's share of the service that each class gets.
func (t *Tenants) Share(index int) units.Fraction { return t.all[index].Share }

// Arrivals is the number of a tenant's requests in this interval.
func (t *Tenants) Arrivals(index int) int { return t.all[index].arrivals }

func (t *Tenants) requestReceived(index int) { t.all[index].arrivals++ }

// closeInterval updates the rates and returns the sums of the rates and of the quotas.
func (t *Tenants) closeInterval(elapsed time.Duration, weight float64) (rate, quota units.PerSecond) {
	for i := range t.all {
		one := &t.all[i]
		one.rate = estimate.EWMA(one.rate, units.Rate(one.arrivals, elapsed), weight)
		one.arrivals = 0
		rate += one.rate
		quota += one.Quota
	}
	return rate, quota
}

package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
)

// timeoutSlack is the time by which a request's timeout may exceed the timeout of its class.
const timeoutSlack = time.Second

// admissionRules are the settings by which requests are checked before they are accepted.
type admissionRules struct {
	classes map[string]control.Class
	// longestTimeouts holds the longest timeout that each class ever had. For a while after a reload, clients
	// still send requests with the timeouts before it; these are accepted.
	longestTimeouts map[string]time.Duration
	tenants         map[string]bool // empty: any tenant
}

func newAdmissionRules(settings control.Settings) admissionRules {
	rules := admissionRules{
		classes:         map[string]control.Class{},
		longestTimeouts: map[string]time.Duration{},
		tenants:         map[string]bool{},
	}
	rules.setClasses(settings.Classes)
	for _, tenant := range settings.Tenants {
		rules.tenants[tenant.Name] = true
	}
	return rules
}

// setClasses puts classes in force in place of those before.
func (rules *admissionRules) setClasses(classes []control.Class) {
	clear(rules.classes)
	for _, class := range classes {
		rules.classes[class.Name] = class
		rules.longestTimeouts[class.Name] = max(class.ClientTimeout, rules.longestTimeouts[class.Name])
	}
}

// check returns the class of a request, or the error of a field that can't be used.
func (rules *admissionRules) check(r Request) (control.Class, error) {
	class, known := rules.classes[r.Class]
	switch {
	case !known:
		return class, errUnknownClass
	case len(rules.tenants) > 0 && !rules.tenants[r.Tenant]:
		return class, errUnknownTenant
	case class.ClientTimeout > 0 && r.Timeout > rules.longestTimeouts[r.Class]+timeoutSlack:
		return class, errTimeoutTooLong
	case class.Idempotency.Kind == idempotency.WithKey && r.IdempotencyKey == "":
		// Without the key an engine could not drop a repeat, and its effect might come twice.
		return class, errMissingIdempotencyKey
	}
	return class, nil
}

// updateSettings puts reloaded classes and limits in force.
func (b *Broker) updateSettings(settings control.Settings) {
	b.admission.setClasses(settings.Classes)
	b.module.UpdateClasses(settings.Classes, settings.Limits)
}

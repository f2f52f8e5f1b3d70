package broker

import (
	"maps"
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
)

// timeoutSlack is the time by which a request's timeout may exceed the client timeout of its class.
const timeoutSlack = time.Second

// requestValidator checks the fields of requests before they are accepted.
type requestValidator struct {
	classes map[string]control.Class
	// longestTimeouts holds the longest timeout that each class has had, by class name: for a while after a reload,
	// clients still send requests with the previous timeouts, which are accepted. It has the names of this configuration
	// and of the previous one.
	longestTimeouts map[string]time.Duration
	tenants         map[string]bool // empty: any tenant is valid
}

func newRequestValidator(settings control.Settings) *requestValidator {
	validator := &requestValidator{
		longestTimeouts: map[string]time.Duration{},
		tenants:         map[string]bool{},
	}
	validator.setClasses(settings.Classes)
	for _, tenant := range settings.Tenants {
		validator.tenants[tenant.Name] = true
	}
	return validator
}

// setClasses replaces the classes.
func (v *requestValidator) setClasses(classes []control.Class) {
	previous := v.classes
	v.classes = make(map[string]control.Class, len(classes))
	for _, class := range classes {
		v.classes[class.Name] = class
		v.longestTimeouts[class.Name] = max(class.ClientTimeout, v.longestTimeouts[class.Name])
	}
	maps.DeleteFunc(v.longestTimeouts, func(name string, _ time.Duration) bool {
		_, listed := v.classes[name]
		_, listedBefore := previous[name]
		return !listed && !listedBefore
	})
}

// check returns the class of a request, or an error if a field is invalid.
func (v *requestValidator) check(request Request) (control.Class, error) {
	class, known := v.classes[request.Class]
	switch {
	case !known:
		return class, errUnknownClass
	case len(v.tenants) > 0 && !v.tenants[request.Tenant]:
		return class, errUnknownTenant
	case class.ClientTimeout > 0 && request.Timeout > v.longestTimeouts[request.Class]+timeoutSlack:
		return class, errTimeoutTooLong
	case class.Idempotency.Kind == idempotency.IdempotentWithKey && request.IdempotencyKey == "":
		// Without the key, an engine could not deduplicate attempts, and the request could take effect twice.
		return class, errMissingIdempotencyKey
	}
	return class, nil
}

// updateSettings applies reloaded classes and limits.
func (b *Broker) updateSettings(settings control.Settings) {
	b.validator.setClasses(settings.Classes)
	b.module.UpdateClasses(settings.Classes, settings.Limits)
}

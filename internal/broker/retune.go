package broker

import "wheatlane/control"

// Retune takes over the classes and the ration of attempts of settings read at SIGHUP. Requests under way keep the
// class that they came under; one that is not named any more takes no new request.
type Retune struct{ Settings control.Settings }

func (Retune) event() {}

func (b *Broker) retune(set control.Settings) {
	b.classes = make(map[string]control.Class, len(set.Classes))
	for _, k := range set.Classes {
		b.classes[k.Name] = k
	}
	b.decide.Retune(set.Classes, set.Limits)
}

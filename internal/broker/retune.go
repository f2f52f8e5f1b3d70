package broker

import "wheatlane/control"

// UpdateSettings takes over the classes and the ration of attempts of settings read at SIGHUP. Requests under way keep the
// class that they came under; one that is not named any more takes no new request.
type UpdateSettings struct{ Settings control.Settings }

func (UpdateSettings) event() {}

func (b *Broker) updateSettings(set control.Settings) {
	clear(b.classes)
	b.setClasses(set.Classes)
	b.module.UpdateClasses(set.Classes, set.Limits)
}

// setClasses puts classes in force. Clients word requests by those before for a while, so a class keeps the longest
// deadline that it had: guards against requests that are turned away as they cross a reload to shorter ones.
func (b *Broker) setClasses(classes []control.Class) {
	for _, k := range classes {
		b.classes[k.Name], b.longestTimeouts[k.Name] = k, max(k.ClientTimeout, b.longestTimeouts[k.Name])
	}
}

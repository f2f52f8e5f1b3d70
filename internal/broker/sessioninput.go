package broker

// SessionInput tells what has arrived from clients and is not known to the reducer yet. Its method is called on the
// goroutine that owns the reducer.
type SessionInput interface {
	// Pending reports whether a command of a session has arrived, or has begun to arrive.
	Pending(session Session) bool
}

// noSessionInput knows of no input.
type noSessionInput struct{}

func (noSessionInput) Pending(Session) bool { return false }

// SetSessionInput sets where the reducer learns of commands that have arrived. It must be called before the first
// event.
func (b *Broker) SetSessionInput(input SessionInput) { b.input = input }

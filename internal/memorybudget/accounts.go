package memorybudget

// Accounts is the memory that a broker's accounts count as in use, in bytes by share.
type Accounts struct {
	Sessions   int // clients' connections, at SessionBytes each
	Input      int // incomplete large messages
	Statements int // statements of open and queued requests, and queued commands
	Output     int // replies that were not sent
	Results    int // pages of results that are not complete
	Engines    int // listed engines, at EngineBytes each
}

// AccountNames holds the name of each account in logs and metrics, in the order of Bytes.
var AccountNames = [...]string{"sessions", "input", "statements", "output", "results", "engines"}

// Bytes returns the memory of each account in the order of AccountNames.
func (a Accounts) Bytes() [len(AccountNames)]int {
	return [...]int{a.Sessions, a.Input, a.Statements, a.Output, a.Results, a.Engines}
}

// Total returns the memory of all accounts.
func (a Accounts) Total() (bytes int) {
	for _, account := range a.Bytes() {
		bytes += account
	}
	return bytes
}

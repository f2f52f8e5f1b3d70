package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"
)

// errNoPassword reports a password file that contains nothing but line ends.
var errNoPassword = errors.New("file must contain a password, but is empty")

// KeyError reports an invalid value of a key.
type KeyError struct {
	Key    string // path of the value, as in telemetry.graphite[0].address
	Reason string
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// securityNone is the value of Collectd.Security with which packets are neither signed nor encrypted.
const securityNone = "none"

// validate checks the rules that a schema can't express.
func (t *Telemetry) validate() error {
	keyOfName := map[string]string{} // key of the destination with a name
	for i, g := range t.Graphite {
		key := fmt.Sprintf("telemetry.graphite[%d]", i)
		if err := validateDestination(keyOfName, key, g.Name, g.Address); err != nil {
			return err
		}
	}
	for i, c := range t.Collectd {
		key := fmt.Sprintf("telemetry.collectd[%d]", i)
		if err := validateDestination(keyOfName, key, c.Name, c.Address); err != nil {
			return err
		}
		if err := c.validateCredentials(key); err != nil {
			return err
		}
	}
	return nil
}

// validateDestination checks that a destination has a unique name and a valid address. It adds the name to keyOfName.
func validateDestination(keyOfName map[string]string, key, name, address string) error {
	if other, taken := keyOfName[name]; taken {
		return &KeyError{key + ".name", fmt.Sprintf("must be unique, but %q is the name of %s", name, other)}
	}
	keyOfName[name] = key
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &KeyError{key + ".address", err.Error()}
	}
	return nil
}

// validateCredentials checks that user and password file are set if security requires them.
func (c *Collectd) validateCredentials(key string) error {
	if c.Security == securityNone {
		return nil
	}
	if c.User == "" {
		return &KeyError{key + ".user", fmt.Sprintf("required with security %q, but missing", c.Security)}
	}
	if c.PasswordFile == "" {
		return &KeyError{key + ".password_file", fmt.Sprintf("required with security %q, but missing", c.Security)}
	}
	return nil
}

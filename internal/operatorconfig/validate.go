package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"
)

// errNoPassword reports a password file without a password.
var errNoPassword = errors.New("it holds no password")

// KeyError reports an invalid value of a key.
type KeyError struct {
	Key    string
	Reason string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// securityNone is the value of Collectd.Security for packets that are neither signed nor encrypted.
const securityNone = "none"

// validate checks what a schema can't express.
func (t *Telemetry) validate() error {
	keyOfName := map[string]string{} // the destination that has a name
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

// validateDestination checks that a name is unique and that an address is one.
func validateDestination(keyOfName map[string]string, key, name, address string) error {
	if other, taken := keyOfName[name]; taken {
		return &KeyError{key + ".name", fmt.Sprintf("%q is the name of %s", name, other)}
	}
	keyOfName[name] = key
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &KeyError{key + ".address", err.Error()}
	}
	return nil
}

// validateCredentials checks that user and password file are set where security requires them.
func (c *Collectd) validateCredentials(key string) error {
	if c.Security == securityNone {
		return nil
	}
	if c.User == "" {
		return &KeyError{key + ".user", "missing, as security is " + c.Security}
	}
	if c.PasswordFile == "" {
		return &KeyError{key + ".password_file", "missing, as security is " + c.Security}
	}
	return nil
}

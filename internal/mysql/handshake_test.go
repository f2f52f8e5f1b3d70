package mysql

import (
	"encoding/binary"
	"errors"
	"testing"
)

// loginPayload returns the payload of a login with the given flags and the bytes that follow its header.
func loginPayload(flags uint32, rest string) []byte {
	payload := binary.LittleEndian.AppendUint32(nil, flags)
	payload = append(payload, make([]byte, loginHeaderLen-len(payload))...)
	return append(payload, rest...)
}

func TestParseLogin(t *testing.T) {
	const pluginFlags = clientProtocol41 | clientPluginAuth | clientPluginAuthLenencData | clientConnectWithDB
	for name, c := range map[string]struct {
		payload []byte
		want    Login
		err     error
	}{
		"with database": {
			loginPayload(clientProtocol41|clientSecureConnection|clientConnectWithDB, "app\x00\x00main\x00"),
			Login{"app", "main", false},
			nil,
		},
		"without database": {loginPayload(clientProtocol41|clientSecureConnection, "app\x00\x00"), Login{User: "app"}, nil},
		"with plugin": {
			loginPayload(pluginFlags, "app\x00\x00main\x00x\x00"), Login{"app", "main", false}, nil,
		},
		"old password": {loginPayload(clientProtocol41, "app\x00pw\x00"), Login{"app", "", true}, nil},
		"password": {
			loginPayload(clientProtocol41|clientSecureConnection, "app\x00\x02pw"), Login{"app", "", true}, nil,
		},
		"truncated password": {loginPayload(clientProtocol41|clientSecureConnection, "app\x00\x05pw"), Login{}, ErrHandshake},
		"unterminated user":  {loginPayload(clientProtocol41, "app"), Login{}, ErrHandshake},
		"old protocol":       {loginPayload(0, "app\x00\x00"), Login{}, ErrHandshake},
		"TLS":                {loginPayload(clientProtocol41|clientSSL, ""), Login{}, ErrHandshake},
		"short payload":      {[]byte("x"), Login{}, ErrHandshake},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseLogin(c.payload)
			if !errors.Is(err, c.err) || err == nil && got != c.want {
				t.Errorf("got %+v, error %v, want %+v, error %v", got, err, c.want, c.err)
			}
		})
	}
}

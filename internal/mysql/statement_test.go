package mysql

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const requiredFields = "/* service=report,ref=9b1f03aa5c7e2d41,allow=1500"

func TestParseStatement(t *testing.T) {
	for name, c := range map[string]struct {
		text         string
		want         Statement
		invalidField string
	}{
		"all fields": {
			text: "/* service=load,ref=9b1f03aa5c7e2d41,allow=1500,project=acme,dup=1," +
				"replay=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,effort=820.5,ram=96,lookup=7f3a9c21e0b4d655 */ " +
				"INSERT INTO sales_17.orders VALUES (1)",
			want: Statement{
				Class: "load", RequestID: "9b1f03aa5c7e2d41", Timeout: 1500 * time.Millisecond, Tenant: "acme",
				IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", OrderKey: "7f3a9c21e0b4d655",
				EstimatedWork: 820_500 * time.Microsecond, EstimatedMemoryMB: 96, IsRetry: true, DataSet: 17,
				Text: "INSERT INTO sales_17.orders VALUES (1)",
			},
		},
		"unknown fields": {
			text: requiredFields + ",new=1*/\n SELECT 1",
			want: Statement{Class: "report", RequestID: "9b1f03aa5c7e2d41", Timeout: 1500 * time.Millisecond, Text: "SELECT 1"},
		},
		"no comment":          {text: "SELECT 1", invalidField: "service"},
		"open comment":        {text: requiredFields + " SELECT 1", invalidField: "service"},
		"no statement text":   {text: requiredFields + " */ ", invalidField: "service"},
		"field without value": {text: requiredFields + ",dup */ SELECT 1", invalidField: `"dup"`},
		"no class":            {text: "/* ref=9b1f03aa5c7e2d41,allow=1 */ SELECT 1", invalidField: "service"},
		"no request id":       {text: "/* service=a,allow=1 */ SELECT 1", invalidField: "ref"},
		"short request id":    {text: "/* service=a,ref=9b1f,allow=1 */ SELECT 1", invalidField: "ref"},
		"no timeout":          {text: "/* service=a,ref=9b1f03aa5c7e2d41 */ SELECT 1", invalidField: "allow"},
		"timeout of 0":        {text: "/* service=a,ref=9b1f03aa5c7e2d41,allow=0 */ SELECT 1", invalidField: "allow"},
		"timeout over the limit": {
			text: "/* service=a,ref=9b1f03aa5c7e2d41,allow=99999999999 */ SELECT 1", invalidField: "allow",
		},
		"work not a number": {text: requiredFields + ",effort=NaN */ SELECT 1", invalidField: "effort"},
		"negative memory":   {text: requiredFields + ",ram=-1 */ SELECT 1", invalidField: "ram"},
		"order key not hex": {text: requiredFields + ",lookup=xyz */ SELECT 1", invalidField: "lookup"},
		// A space would add fields to the request to an engine.
		"idempotency key with a space": {text: requiredFields + ",replay=a b */ SELECT 1", invalidField: "replay"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseStatement(c.text)
			fault, invalid := errors.AsType[*FieldError](err)
			if invalid != (c.invalidField != "") || invalid && fault.Field != c.invalidField {
				t.Fatalf("got error %v, want one for field %q", err, c.invalidField)
			}
			if diff := cmp.Diff(c.want, got); err == nil && diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// FuzzParsers guards against parsers that panic on malformed input from a client.
func FuzzParsers(f *testing.F) {
	f.Add([]byte(requiredFields + " */ SELECT 1 FROM s_1.t"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		// The results do not matter: this test checks only for panics.
		_, _, _ = ParsePacket(b)
		_, _ = ParseLogin(b)
		_, _ = ParseStatement(string(b))
		_, _ = ParseKill(string(b))
		_ = dataSet(string(b))
	})
}

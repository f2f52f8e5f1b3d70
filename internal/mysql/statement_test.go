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
		text       string
		want       Statement
		faultyName string
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
		"no comment":   {text: "SELECT 1", faultyName: "service"},
		"open comment": {text: requiredFields + " SELECT 1", faultyName: "service"},
		"no statement": {text: requiredFields + " */ ", faultyName: "service"},
		"no value":     {text: requiredFields + ",dup */ SELECT 1", faultyName: `"dup"`},
		"no class":     {text: "/* ref=9b1f03aa5c7e2d41,allow=1 */ SELECT 1", faultyName: "service"},
		"no id":        {text: "/* service=a,allow=1 */ SELECT 1", faultyName: "ref"},
		"short id":     {text: "/* service=a,ref=9b1f,allow=1 */ SELECT 1", faultyName: "ref"},
		"no timeout":   {text: "/* service=a,ref=9b1f03aa5c7e2d41 */ SELECT 1", faultyName: "allow"},
		"timeout of 0": {text: "/* service=a,ref=9b1f03aa5c7e2d41,allow=0 */ SELECT 1", faultyName: "allow"},
		"endless timeout": {
			text: "/* service=a,ref=9b1f03aa5c7e2d41,allow=99999999999 */ SELECT 1", faultyName: "allow",
		},
		"work no number":   {text: requiredFields + ",effort=NaN */ SELECT 1", faultyName: "effort"},
		"memory below 0":   {text: requiredFields + ",ram=-1 */ SELECT 1", faultyName: "ram"},
		"order key no hex": {text: requiredFields + ",lookup=xyz */ SELECT 1", faultyName: "lookup"},
		// A blank would add fields to the request that an engine gets.
		"idempotency key with a blank": {text: requiredFields + ",replay=a b */ SELECT 1", faultyName: "replay"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseStatement(c.text)
			fault, faulty := errors.AsType[*FieldError](err)
			if faulty != (c.faultyName != "") || faulty && fault.Field != c.faultyName {
				t.Fatalf("got %v, want %q at fault", err, c.faultyName)
			}
			if diff := cmp.Diff(c.want, got); err == nil && diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// No parser panics, whatever a client sends.
func FuzzParsers(f *testing.F) {
	f.Add([]byte(requiredFields + " */ SELECT 1 FROM s_1.t"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		// Only whether they return is tested here, not what.
		_, _, _ = ParsePacket(b)
		_, _ = ParseLogin(b)
		_, _ = ParseStatement(string(b))
		_, _ = ParseKill(string(b))
		_ = dataSet(string(b))
	})
}

package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const fields = "/* service=report,ref=9b1f03aa5c7e2d41,allow=1500"

func TestParseStatement(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want Statement
		bad  string // the field at fault
	}{
		"all fields": {"/* service=load,ref=9b1f03aa5c7e2d41,allow=1500,project=acme,dup=1,replay=5c0f6e1a2b3d4c59a8b7c6d5e4f30211," +
			"effort=820.5,ram=96,lookup=7f3a9c21e0b4d655 */ INSERT INTO sales_17.orders VALUES (1)",
			Statement{Class: "load", RequestID: "9b1f03aa5c7e2d41", TimeoutMS: 1500, Tenant: "acme",
				IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", OrderKey: "7f3a9c21e0b4d655", EstimatedWorkMS: 820.5, EstimatedMemoryMB: 96, IsRetry: true, DataSet: 17,
				Text: "INSERT INTO sales_17.orders VALUES (1)"}, ""},
		"unknown fields": {fields + ",new=1*/\n SELECT 1",
			Statement{Class: "report", RequestID: "9b1f03aa5c7e2d41", TimeoutMS: 1500, Text: "SELECT 1"}, ""},
		"no comment":   {"SELECT 1", Statement{}, "service"},
		"open comment": {fields + " SELECT 1", Statement{}, "service"},
		"no statement": {fields + " */ ", Statement{}, "service"},
		"no value":     {fields + ",dup */ SELECT 1", Statement{}, `"dup"`},
		"no class":     {"/* ref=9b1f03aa5c7e2d41,allow=1 */ SELECT 1", Statement{}, "service"},
		"no id":        {"/* service=a,allow=1 */ SELECT 1", Statement{}, "ref"},
		"short id":     {"/* service=a,ref=9b1f,allow=1 */ SELECT 1", Statement{}, "ref"},
		"no wait":      {"/* service=a,ref=9b1f03aa5c7e2d41 */ SELECT 1", Statement{}, "allow"},
		"wait of 0":    {"/* service=a,ref=9b1f03aa5c7e2d41,allow=0 */ SELECT 1", Statement{}, "allow"},
		"endless wait": {"/* service=a,ref=9b1f03aa5c7e2d41,allow=99999999999 */ SELECT 1", Statement{}, "allow"},
		"no number":    {fields + ",effort=NaN */ SELECT 1", Statement{}, "effort"},
		"below zero":   {fields + ",ram=-1 */ SELECT 1", Statement{}, "ram"},
		"bad key":      {fields + ",lookup=xyz */ SELECT 1", Statement{}, "lookup"},
		// Guards against a key that would add fields to what an engine is asked.
		"key with marks": {fields + ",replay=a b */ SELECT 1", Statement{}, "replay"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseStatement(c.text)
			var bad *FieldError
			if errors.As(err, &bad) != (c.bad != "") || bad != nil && bad.Field != c.bad {
				t.Fatalf("got %v, want %q at fault", err, c.bad)
			}
			if diff := cmp.Diff(c.want, got); err == nil && diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

func TestGroupOfTables(t *testing.T) {
	for text, want := range map[string]int{
		"SELECT day FROM sales_17.orders WHERE tag = '3f9c'":                     17,
		"select a.x_3.y from `sales_17`.`orders` a":                              17,
		"SELECT s_4.orders.day, max(note) FROM s_4.orders":                       4,
		"INSERT INTO sales_5.orders SELECT * FROM staging.batch_9":               5,
		"INSERT INTO sales_5.orders SELECT * FROM staging.batch_9, x":            5,
		"SELECT * FROM staging.a_1, sales_6.b":                                   6,
		"SELECT * FROM staging.a JOIN sales_6.b ON a.z_8 = b.c":                  6,
		"SELECT 'FROM fake_1.t', \"it''s \\\" fake_2.t\" FROM real_3.t":          3,
		"SELECT 1 /* FROM fake_1.t */ -- FROM fake_2.t\n # x_9.y\nFROM real_3.t": 3,
		"UPDATE sales_7.orders SET a = 1.5":                                      7,
		"LOAD DATA INFILE 'x_1.y' INTO TABLE sales_8.orders":                     8,
		"DELETE FROM sales_9.orders":                                             9,
		"SELECT x_2.y.z":                                                         2,
		"SELECT 1.5, a.b FROM plain.orders":                                      0,
		"SELECT 'unclosed FROM s_1.t":                                            0,
		"":                                                                       0,
	} {
		if got := group(text); got != want {
			t.Errorf("%s: group %d, want %d", text, got, want)
		}
	}
}

func login(flags uint32, rest string) []byte {
	p := binary.LittleEndian.AppendUint32(nil, flags)
	return append(append(p, make([]byte, 28)...), rest...)
}

func TestParseLogin(t *testing.T) {
	for name, c := range map[string]struct {
		payload []byte
		want    Login
		err     error
	}{
		"with database":    {login(protocol41|secureConnection|connectWithDB, "app\x00\x00main\x00"), Login{"app", "main", false}, nil},
		"without":          {login(protocol41|secureConnection, "app\x00\x00"), Login{User: "app"}, nil},
		"with plugin":      {login(protocol41|pluginAuth|pluginAuthLenenc|connectWithDB, "app\x00\x00main\x00x\x00"), Login{"app", "main", false}, nil},
		"old password":     {login(protocol41, "app\x00pw\x00"), Login{"app", "", true}, nil},
		"password":         {login(protocol41|secureConnection, "app\x00\x02pw"), Login{"app", "", true}, nil},
		"cut password":     {login(protocol41|secureConnection, "app\x00\x05pw"), Login{}, ErrHandshake},
		"user without end": {login(protocol41, "app"), Login{}, ErrHandshake},
		"old protocol":     {login(0, "app\x00\x00"), Login{}, ErrHandshake},
		"TLS":              {login(protocol41|useTLS, ""), Login{}, ErrHandshake},
		"short":            {[]byte("x"), Login{}, ErrHandshake},
	} {
		got, err := ParseLogin(c.payload)
		if !errors.Is(err, c.err) || err == nil && got != c.want {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
}

// Any split of the input gives the same packets, and a packet too large is seen from its header.
func TestPacketsSplitAnywhere(t *testing.T) {
	var in []byte
	in = AppendOK(in, 7)
	in = AppendError(in, 1, CodeUserLimit, "no room; cooldown=250")
	for cut := range in {
		held, n := in[:cut], 0
		for {
			_, _, size, err := ParsePacket(held[n:])
			if err != nil {
				t.Fatal(err)
			}
			if size == 0 {
				break
			}
			n += size
		}
		rest := in[n:]
		if n > 0 {
			rest = in[11:]
		}
		if seq, _, size, err := ParsePacket(rest); err != nil || size == 0 || n > 0 && seq != 1 {
			t.Fatalf("cut at %d: seq %d, %d bytes, %v", cut, seq, size, err)
		}
	}
	if _, _, _, err := ParsePacket([]byte{1, 0, 1, 0}); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("got %v for a packet of 65,537 bytes", err)
	}
}

// packets splits what a server sent.
func packets(t *testing.T, b []byte) (out [][]byte) {
	t.Helper()
	for want := byte(1); len(b) > 0; want++ {
		size := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
		if b[3] != want {
			t.Fatalf("sequence number %d, want %d", b[3], want)
		}
		out, b = append(out, b[HeaderLen:HeaderLen+size]), b[HeaderLen+size:]
	}
	return out
}

// A result keeps its rows unchanged and in order over its pages, and ends in EOF.
func TestAppendResult(t *testing.T) {
	long := strings.Repeat("x", 300)
	var rows []string
	pages := [][]byte{nil, {}, nil}
	for i := range 400 { // the sequence number wraps
		row := "r\t\t" + strings.Repeat("y", i%5)
		if i == 7 {
			row = long + "\tb\tc"
		}
		rows = append(rows, row)
		pages[i/200*2] = append(pages[i/200*2], row+"\n"...)
	}
	got := packets(t, AppendResult(nil, 1, pages))
	if len(got) != 1+Columns+1+len(rows)+1 || got[0][0] != Columns {
		t.Fatalf("%d packets", len(got))
	}
	for _, at := range []int{1 + Columns, len(got) - 1} {
		if !bytes.Equal(got[at], []byte{0xfe, 0, 0, autocommit, 0}) {
			t.Fatalf("packet %d is no EOF: %v", at, got[at])
		}
	}
	for i, p := range got[2+Columns : len(got)-1] {
		var columns []string
		for len(p) > 0 {
			n, skip := int(p[0]), 1
			if n == 0xfc {
				n, skip = int(p[1])|int(p[2])<<8, 3
			}
			columns, p = append(columns, string(p[skip:skip+n])), p[skip+n:]
		}
		if diff := cmp.Diff(rows[i], strings.Join(columns, "\t")); diff != "" {
			t.Fatalf("row %d: %s", i, diff)
		}
	}
}

func TestAppendError(t *testing.T) {
	got := packets(t, AppendError(nil, 1, CodeUserLimit, "no room; cooldown=250"))
	if want := "\xff\xca\x04#42000no room; cooldown=250"; string(got[0]) != want {
		t.Fatalf("got %q, want %q", got[0], want)
	}
}

func TestParseKill(t *testing.T) {
	type kill struct {
		id             uint32
		connection, ok bool
	}
	for text, want := range map[string]kill{
		"KILL QUERY 42": {42, false, true}, "kill query 42;": {42, false, true}, " KILL 7": {7, true, true},
		"KILL CONNECTION 7": {7, true, true}, "KILL QUERY x": {0, false, false}, "KILL": {}, "SELECT 1": {},
		"KILL QUERY 99999999999": {4294967295, false, false}, "KILL SOME 7": {},
	} {
		id, connection, ok := ParseKill(text)
		if ok != want.ok || ok && (kill{id, connection, ok}) != want {
			t.Errorf("%s: got %d, %v, %v", text, id, connection, ok)
		}
	}
}

func FuzzParsers(f *testing.F) {
	f.Add([]byte(fields + " */ SELECT 1 FROM s_1.t"))
	f.Fuzz(func(t *testing.T, b []byte) { // none panics, whatever comes
		ParsePacket(b)
		ParseLogin(b)
		ParseStatement(string(b))
		ParseKill(string(b))
		group(string(b))
	})
}

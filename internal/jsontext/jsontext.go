// Package jsontext reads JSON into a tree that knows where each value stands, so that whoever checks it can name the
// place. It finds what a plain decoder passes over: keys that come twice, a byte order mark, text behind the value.
package jsontext

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// MaxText is the largest text read; a list of thousands of engines is smaller.
	MaxText  = 4 << 20
	mostDeep = 64 // objects and lists within each other; a file of ours has eight
)

// Kind is the kind of a value.
type Kind int

// The kinds of value.
const (
	Object Kind = iota
	List
	Text
	Number
	Truth
	Null
)

func (k Kind) String() string {
	return [...]string{"an object", "a list", "a text", "a number", "true or false", "null"}[k]
}

// Place is where something stands in a file; both count from 1, columns in bytes.
type Place struct{ Line, Column int }

// Node is a value.
type Node struct {
	Kind    Kind
	Place   Place
	Text    string // of a text, and of a number as it is written
	Number  float64
	Truth   bool
	Members []Member // of an object, in their order
	Items   []*Node  // of a list
}

// Member is a key of an object with its value.
type Member struct {
	Key   string
	Place Place // of the key
	Value *Node
}

// Error is a fault of a text as JSON.
type Error struct {
	Place  Place
	Reason string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%d:%d: %s", e.Place.Line, e.Place.Column, e.Reason)
}

// Parse reads a text. Besides the value it returns the keys that come twice in one object. The error is of type *Error.
func Parse(text []byte) (*Node, []Member, error) {
	p := &parser{text: text}
	switch {
	case len(text) > MaxText:
		return nil, nil, &Error{Place{1, 1}, fmt.Sprintf("the file has %d bytes, %d at most", len(text), MaxText)}
	case bytes.HasPrefix(text, []byte("\xef\xbb\xbf")):
		return nil, nil, &Error{Place{1, 1}, "a byte order mark stands ahead of the value"}
	}
	p.dec = json.NewDecoder(bytes.NewReader(text))
	p.dec.UseNumber()
	n, err := p.value(0)
	if err != nil {
		return nil, p.twice, err
	}
	at := p.next()
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, p.twice, &Error{p.place(at), "something follows the value"}
	}
	return n, p.twice, nil
}

type parser struct {
	text  []byte
	dec   *json.Decoder
	twice []Member
	line  int // line ends counted up to upTo
	upTo  int
	start int // of the last line counted
}

// next is the offset of the next token.
func (p *parser) next() int {
	at := int(p.dec.InputOffset())
	for at < len(p.text) && bytes.IndexByte([]byte(" \t\r\n,:"), p.text[at]) >= 0 {
		at++
	}
	return at
}

// place is where an offset is. Offsets are asked for in rising order, so that a text is gone through once.
func (p *parser) place(at int) Place {
	if at < p.upTo {
		p.line, p.upTo, p.start = 0, 0, 0
	}
	for ; p.upTo < at && p.upTo < len(p.text); p.upTo++ {
		if p.text[p.upTo] == '\n' {
			p.line, p.start = p.line+1, p.upTo+1
		}
	}
	return Place{p.line + 1, at - p.start + 1}
}

// fault words what the decoder found.
func (p *parser) fault(at int, err error) error {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return &Error{p.place(max(at, int(syntax.Offset)-1)), syntax.Error()}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &Error{p.place(len(p.text)), "the text breaks off"}
	}
	return &Error{p.place(at), err.Error()}
}

func (p *parser) value(deep int) (*Node, error) {
	at := p.next()
	tok, err := p.dec.Token()
	if err != nil {
		return nil, p.fault(at, err)
	}
	n := &Node{Place: p.place(at)}
	switch tok := tok.(type) {
	case json.Delim:
		if deep >= mostDeep {
			return nil, &Error{n.Place, fmt.Sprintf("objects and lists stand within each other more than %d deep", mostDeep)}
		}
		if tok == '{' {
			return n, p.object(n, deep)
		}
		n.Kind = List
		return n, p.list(n, deep)
	case string:
		n.Kind, n.Text = Text, tok
	case json.Number:
		n.Kind, n.Text = Number, tok.String()
		if n.Number, err = strconv.ParseFloat(n.Text, 64); err != nil {
			return nil, &Error{n.Place, n.Text + " is beyond what a number can be"}
		}
	case bool:
		n.Kind, n.Truth = Truth, tok
	default:
		n.Kind = Null
	}
	return n, nil
}

func (p *parser) object(n *Node, deep int) error {
	seen := map[string]bool{}
	for p.dec.More() {
		at := p.next()
		tok, err := p.dec.Token()
		if err != nil {
			return p.fault(at, err)
		}
		m := Member{Key: fmt.Sprint(tok), Place: p.place(at)}
		if m.Value, err = p.value(deep + 1); err != nil {
			return err
		}
		if seen[m.Key] {
			p.twice = append(p.twice, m)
			continue
		}
		seen[m.Key] = true
		n.Members = append(n.Members, m)
	}
	return p.end()
}

func (p *parser) list(n *Node, deep int) error {
	for p.dec.More() {
		v, err := p.value(deep + 1)
		if err != nil {
			return err
		}
		n.Items = append(n.Items, v)
	}
	return p.end()
}

// end takes the bracket that ends an object or a list.
func (p *parser) end() error {
	at := p.next()
	if _, err := p.dec.Token(); err != nil {
		return p.fault(at, err)
	}
	return nil
}

// Get is the value of a key, or nil.
func (n *Node) Get(key string) *Node {
	if n == nil {
		return nil
	}
	for _, m := range n.Members {
		if m.Key == key {
			return m.Value
		}
	}
	return nil
}

// At is the value at a path of keys and numbers of items, or nil.
func (n *Node) At(path ...string) *Node {
	for _, key := range path {
		if n == nil {
			return nil
		}
		if n.Kind == List {
			i, err := strconv.Atoi(key)
			if err != nil || i < 0 || i >= len(n.Items) {
				return nil
			}
			n = n.Items[i]
			continue
		}
		n = n.Get(key)
	}
	return n
}

// All are the items of a list; none of anything else, nil included.
func (n *Node) All() []*Node {
	if n == nil || n.Kind != List {
		return nil
	}
	return n.Items
}

// Num is a number, or what stands for one that is not there.
func (n *Node) Num(standard float64) float64 {
	if n == nil || n.Kind != Number {
		return standard
	}
	return n.Number
}

// Str is a text, empty if there is none.
func (n *Node) Str() string {
	if n == nil || n.Kind != Text {
		return ""
	}
	return n.Text
}

// True tells whether a value is there and true.
func (n *Node) True() bool { return n != nil && n.Kind == Truth && n.Truth }

// Any is the value as encoding/json decodes it, numbers as they are written.
func (n *Node) Any() any {
	switch n.Kind {
	case Object:
		m := make(map[string]any, len(n.Members))
		for _, e := range n.Members {
			m[e.Key] = e.Value.Any()
		}
		return m
	case List:
		l := make([]any, len(n.Items))
		for i, v := range n.Items {
			l[i] = v.Any()
		}
		return l
	case Text:
		return n.Text
	case Number:
		return json.Number(n.Text)
	case Truth:
		return n.Truth
	}
	return nil
}

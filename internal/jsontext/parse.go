package jsontext

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	// MaxTextBytes is the largest text that is parsed, in bytes; a list of thousands of engines is smaller.
	MaxTextBytes = 4 << 20

	maxDepth      = 64 // nested objects and arrays; a configuration has eight
	byteOrderMark = "\xef\xbb\xbf"
	separators    = " \t\r\n,:" // what may stand between two tokens
)

// SyntaxError reports a text that is not one JSON value.
type SyntaxError struct {
	Position Position
	Reason   string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%d:%d: %s", e.Position.Line, e.Position.Column, e.Reason)
}

// Parse parses a text that holds one JSON value. It also returns the members whose key occurs earlier in the
// same object; they are not part of the tree. An error is a *SyntaxError.
func Parse(text []byte) (root *Node, duplicates []Member, err error) {
	start := Position{Line: 1, Column: 1}
	switch {
	case len(text) > MaxTextBytes:
		return nil, nil, &SyntaxError{
			start,
			fmt.Sprintf("the file has %d bytes, %d at most", len(text), MaxTextBytes),
		}
	case bytes.HasPrefix(text, []byte(byteOrderMark)):
		return nil, nil, &SyntaxError{start, "a byte order mark stands ahead of the value"}
	}
	p := &parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	p.decoder.UseNumber()
	root, err = p.value(0)
	if err != nil {
		return nil, p.duplicates, err
	}
	offset := p.nextOffset()
	if _, err := p.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, p.duplicates, &SyntaxError{p.position(offset), "something follows the value"}
	}
	return root, p.duplicates, nil
}

// parser builds the tree from the tokens of encoding/json.
type parser struct {
	text       []byte
	decoder    *json.Decoder
	duplicates []Member
	lines      lineCounter
}

// lineCounter maps offsets to positions. It scans a text once if the offsets ascend.
type lineCounter struct {
	scanned   int // offset up to which lines are counted
	line      int // line ends before scanned
	lineStart int // offset of the last line
}

func (c *lineCounter) position(text []byte, offset int) Position {
	if offset < c.scanned {
		*c = lineCounter{}
	}
	for ; c.scanned < offset && c.scanned < len(text); c.scanned++ {
		if text[c.scanned] == '\n' {
			c.line++
			c.lineStart = c.scanned + 1
		}
	}
	return Position{Line: c.line + 1, Column: offset - c.lineStart + 1}
}

func (p *parser) position(offset int) Position { return p.lines.position(p.text, offset) }

// nextOffset returns the offset of the next token.
func (p *parser) nextOffset() int {
	offset := int(p.decoder.InputOffset())
	for offset < len(p.text) && strings.IndexByte(separators, p.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// syntaxError converts an error of the decoder at a token.
func (p *parser) syntaxError(offset int, err error) error {
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		return &SyntaxError{p.position(max(offset, int(syntax.Offset)-1)), syntax.Error()}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &SyntaxError{p.position(len(p.text)), "the text breaks off"}
	}
	return &SyntaxError{p.position(offset), err.Error()}
}

// value parses the next value, which is nested in depth objects and arrays.
func (p *parser) value(depth int) (*Node, error) {
	offset := p.nextOffset()
	token, err := p.decoder.Token()
	if err != nil {
		return nil, p.syntaxError(offset, err)
	}
	n := &Node{Position: p.position(offset)}
	switch token := token.(type) {
	case json.Delim:
		return n, p.container(n, token, depth)
	case json.Number:
		return n, n.setNumber(token)
	case string:
		n.Kind, n.Text = String, token
	case bool:
		n.Kind, n.Bool = Bool, token
	default:
		n.Kind = Null
	}
	return n, nil
}

func (n *Node) setNumber(literal json.Number) (err error) {
	n.Kind, n.Text = Number, literal.String()
	if n.Number, err = strconv.ParseFloat(n.Text, 64); err != nil {
		return &SyntaxError{n.Position, n.Text + " is beyond what a number can be"}
	}
	return nil
}

// container parses an object or array whose opening delimiter has been read.
func (p *parser) container(n *Node, open json.Delim, depth int) error {
	if depth >= maxDepth {
		return &SyntaxError{
			n.Position,
			fmt.Sprintf("objects and lists are nested more than %d deep", maxDepth),
		}
	}
	parseItems := p.array
	n.Kind = Array
	if open == '{' {
		parseItems = p.object
		n.Kind = Object
	}
	if err := parseItems(n, depth+1); err != nil {
		return err
	}
	offset := p.nextOffset()
	if _, err := p.decoder.Token(); err != nil { // the closing delimiter
		return p.syntaxError(offset, err)
	}
	return nil
}

func (p *parser) object(n *Node, depth int) error {
	seen := map[string]bool{}
	for p.decoder.More() {
		offset := p.nextOffset()
		token, err := p.decoder.Token()
		if err != nil {
			return p.syntaxError(offset, err)
		}
		m := Member{Key: fmt.Sprint(token), Position: p.position(offset)}
		if m.Value, err = p.value(depth); err != nil {
			return err
		}
		if seen[m.Key] {
			p.duplicates = append(p.duplicates, m)
			continue
		}
		seen[m.Key] = true
		n.Members = append(n.Members, m)
	}
	return nil
}

func (p *parser) array(n *Node, depth int) error {
	for p.decoder.More() {
		v, err := p.value(depth)
		if err != nil {
			return err
		}
		n.Items = append(n.Items, v)
	}
	return nil
}

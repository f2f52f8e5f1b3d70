package server

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// docs/design/crossings.md keeps up with the code: the tests that it names are there, and the constants of the two
// packages that meet other customers' settings have their source in it.
func TestCrossingsTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/design/crossings.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(page)
	tests := map[string]bool{}
	for _, dir := range []string{".", "../broker", "../handover", "../../control", "../../cmd/wheatlane"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		for _, path := range files {
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range f.Decls {
				switch d := d.(type) {
				case *ast.FuncDecl:
					tests[d.Name.Name] = true
				case *ast.GenDecl:
					if d.Tok != token.CONST || strings.HasSuffix(path, "_test.go") || dir != "." && dir != "../broker" {
						continue
					}
					for _, spec := range d.Specs {
						v := spec.(*ast.ValueSpec)
						if v.Type != nil || len(v.Values) == 0 { // a name of a kind, not a figure
							continue
						}
						for i, name := range v.Names {
							lit, isText := v.Values[i].(*ast.BasicLit)
							words := isText && lit.Kind == token.STRING && strings.Contains(lit.Value, " ")
							if !words && !strings.Contains(text, "`"+name.Name+"`") {
								t.Errorf("%s: the constant %s has no source in the table", path, name.Name)
							}
						}
					}
				}
			}
		}
	}
	for _, name := range regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(text, -1) {
		if !tests[name[1]] {
			t.Errorf("the table names %s, which is not there", name[1])
		}
	}
}

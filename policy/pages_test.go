package policy

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

// Patterns of the names on the pages: functions and fields as `Type.name`, constants as `name` = value, files as
// `name.go`, and the rows of the table of constants in docs/capacity.md.
var (
	pageMember = regexp.MustCompile("`((?:Engine|Request|Settings|tenant|traffic|plan|class|backend|outlierState|" +
		"quotaWindow|counterCall|counterBreaker|fleetLatency|QuotaStatus)\\.\\w+)`")
	pageConstant   = regexp.MustCompile("`(\\w+)`\\s+=\\s")
	capacityRow    = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| `(\\w+\\.go)` \\|")
	pageSourceFile = regexp.MustCompile("`(\\w+\\.go)`")
)

// declarationIndex lists the declarations of the package with the file of each function, field and constant.
type declarationIndex struct {
	declaredIn map[string]string
	constants  []string
	files      map[string]bool
}

// parsePackageSource parses all files of the package except the tests.
func parsePackageSource(t *testing.T) declarationIndex {
	t.Helper()
	index := declarationIndex{declaredIn: map[string]string{}, files: map[string]bool{}}
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		index.files[path] = true
		for _, declaration := range file.Decls {
			index.add(path, declaration)
		}
	}
	return index
}

func (n *declarationIndex) add(path string, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		n.declaredIn[functionName(d)] = path
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			n.addSpec(path, d.Tok, spec)
		}
	}
}

func (n *declarationIndex) addSpec(path string, kind token.Token, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			n.declaredIn[name.Name] = path
			if kind == token.CONST && !name.IsExported() {
				n.constants = append(n.constants, name.Name)
			}
		}
	case *ast.TypeSpec:
		structure, ok := s.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range structure.Fields.List {
			for _, name := range field.Names {
				n.declaredIn[s.Name.Name+"."+name.Name] = path
			}
		}
	}
}

// functionName returns the name of a function, or Type.name for a method.
func functionName(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return d.Name.Name
	}
	receiver := d.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	return receiver.(*ast.Ident).Name + "." + d.Name.Name
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestPages_NameExistingDeclarations checks that docs/decisions.md, which leads from a symptom to a function,
// names only declarations and files that exist.
func TestPages_NameExistingDeclarations(t *testing.T) {
	source := parsePackageSource(t)
	page := readPage(t, "decisions.md")
	for _, match := range pageMember.FindAllStringSubmatch(page, -1) {
		isFile := strings.HasSuffix(match[1], ".go")
		if !isFile && source.declaredIn[match[1]] == "" {
			t.Errorf("docs/decisions.md names %s, which the package does not declare", match[1])
		}
	}
	for _, match := range pageConstant.FindAllStringSubmatch(page, -1) {
		if source.declaredIn[match[1]] == "" {
			t.Errorf("docs/decisions.md names the constant %s, which the package does not declare", match[1])
		}
	}
	for _, match := range pageSourceFile.FindAllStringSubmatch(page, -1) {
		if !source.files[match[1]] {
			t.Errorf("docs/decisions.md names %s, which is not a file of the package", match[1])
		}
	}
}

// TestPages_ListEveryTunableConstant checks that docs/capacity.md, which describes what each constant bounds, lists
// every unexported constant with the file that declares it. Enumeration values, units, timer numbers and hash salts
// are exempt, because they are not tuned.
func TestPages_ListEveryTunableConstant(t *testing.T) {
	source := parsePackageSource(t)
	notTuned := map[string]bool{
		"overQuota": true, "withinQuota": true, "awaitingCounter": true, // an enumeration
		"hundredPercent": true, "ticksPerSecond": true, "tickTimer": true, "tenantSalt": true,
	}
	listedIn := map[string]string{}
	for _, match := range capacityRow.FindAllStringSubmatch(readPage(t, "capacity.md"), -1) {
		listedIn[match[1]] = match[2]
		if source.declaredIn[match[1]] != match[2] {
			t.Errorf("docs/capacity.md lists %s in %s, but it is declared in %q", match[1], match[2],
				source.declaredIn[match[1]])
		}
	}
	for _, name := range source.constants {
		if listedIn[name] == "" && !notTuned[name] {
			t.Errorf("constant %s of %s is not listed in docs/capacity.md", name, source.declaredIn[name])
		}
	}
}

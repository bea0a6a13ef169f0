// Package docs holds the tests of the pages.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	identifier = regexp.MustCompile(`^([a-z]\w*)\.([A-Z]\w*(?:\.[A-Z]\w*)?)$`)
)

// sourceFolders lists the folders of the repository that hold Go sources besides tests, relative to its root.
func sourceFolders(t *testing.T) []string {
	t.Helper()
	var folders []string
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() {
			if name == "testdata" || name == "journal" || strings.HasPrefix(name, ".") && name != ".." {
				return filepath.SkipDir
			}
			return nil
		}
		folder := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../")
		if strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") && !slices.Contains(folders, folder) {
			folders = append(folders, folder)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return folders
}

// section returns the text of the page below a heading, up to the next heading of the same level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, after, found := strings.Cut(page, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("ARCHITECTURE.md has no section %q", heading)
	}
	text, _, _ := strings.Cut(after, "\n## ")
	return text
}

func architecture(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

func codeSpans(text string) []string {
	var spans []string
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

func TestArchitectureNamesEveryPackage(t *testing.T) {
	named := codeSpans(section(t, architecture(t), "Packages"))
	for _, folder := range sourceFolders(t) {
		if !slices.Contains(named, folder) {
			t.Errorf("the table of packages does not name %s", folder)
		}
	}
}

func TestArchitectureNamesNoPackageThatIsGone(t *testing.T) {
	folders := sourceFolders(t)
	for _, span := range codeSpans(architecture(t)) {
		isPath := strings.HasPrefix(span, "internal/") || strings.HasPrefix(span, "cmd/") || strings.HasPrefix(span, "example/")
		switch {
		case !isPath:
		case strings.HasSuffix(span, ".go"):
			if !exists(filepath.Join("..", span)) {
				t.Errorf("the file %s does not exist", span)
			}
		case !slices.Contains(folders, span):
			t.Errorf("the package %s does not exist", span)
		}
	}
}

// namesByPackage returns the names that the packages in folders declare, by package name: see declaredNames.
func namesByPackage(t *testing.T, folders []string) map[string][]string {
	t.Helper()
	names := map[string][]string{}
	for _, folder := range folders {
		for _, path := range sourceFiles(t, folder) {
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			names[file.Name.Name] = append(names[file.Name.Name], declaredNames(file)...)
		}
	}
	return names
}

// sourceFiles lists the Go files of a folder of the repository besides tests.
func sourceFiles(t *testing.T, folder string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(path string) bool { return strings.HasSuffix(path, "_test.go") })
}

// declaredNames returns the package-level names of a file, and methods and members of its types as Type.Member.
func declaredNames(file *ast.File) []string {
	var names []string
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			name := d.Name.Name
			if d.Recv != nil {
				name = receiverName(d) + "." + name
			}
			names = append(names, name)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				names = append(names, specNames(spec)...)
			}
		}
	}
	return names
}

// receiverName returns the name of a method's type, without pointer and type parameters.
func receiverName(method *ast.FuncDecl) string {
	receiver := method.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

func specNames(spec ast.Spec) []string {
	var names []string
	switch s := spec.(type) {
	case *ast.TypeSpec:
		names = append(names, s.Name.Name)
		for _, member := range memberNames(s.Type) {
			names = append(names, s.Name.Name+"."+member)
		}
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// memberNames returns the names of a struct's fields or an interface's methods.
func memberNames(definition ast.Expr) []string {
	var fields *ast.FieldList
	switch t := definition.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return nil
	}
	var names []string
	for _, field := range fields.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// foreignPackages are the packages outside the repository whose identifiers pages name.
var foreignPackages = []string{"http"}

// checkIdentifiers reports each package-qualified identifier of a page that no package of the repository declares.
func checkIdentifiers(t *testing.T, page, text string, names map[string][]string) {
	t.Helper()
	for _, span := range codeSpans(text) {
		parts := identifier.FindStringSubmatch(span)
		if parts == nil || slices.Contains(foreignPackages, parts[1]) {
			continue
		}
		if !slices.Contains(names[parts[1]], parts[2]) {
			t.Errorf("%s: %s: package %s has no %s", page, span, parts[1], parts[2])
		}
	}
}

func TestArchitectureNamesIdentifiersThatExist(t *testing.T) {
	checkIdentifiers(t, "ARCHITECTURE.md", architecture(t), namesByPackage(t, sourceFolders(t)))
}

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
	identifier = regexp.MustCompile(`^([a-z]\w*)\.([A-Z]\w*)(?:\.[A-Z]\w*)?$`)
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
			t.Errorf("the table of packages has no %s", folder)
		}
	}
}

func TestArchitectureNamesNoPackageThatIsGone(t *testing.T) {
	folders := sourceFolders(t)
	for _, span := range codeSpans(architecture(t)) {
		isPath := strings.HasPrefix(span, "internal/") || strings.HasPrefix(span, "cmd/") || strings.HasPrefix(span, "example/")
		if isPath && !slices.Contains(folders, span) {
			t.Errorf("%s is no package", span)
		}
	}
}

// exportedNames returns the package-level exported names of the packages in folders, by package name.
func exportedNames(t *testing.T, folders []string) map[string][]string {
	t.Helper()
	names := map[string][]string{}
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			names[file.Name.Name] = append(names[file.Name.Name], declaredNames(file)...)
		}
	}
	return names
}

func declaredNames(file *ast.File) []string {
	var names []string
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Recv == nil {
				names = append(names, d.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				switch s := spec.(type) {
				case *ast.TypeSpec:
					names = append(names, s.Name.Name)
				case *ast.ValueSpec:
					for _, name := range s.Names {
						names = append(names, name.Name)
					}
				}
			}
		}
	}
	return names
}

func TestArchitectureNamesIdentifiersThatExist(t *testing.T) {
	names := exportedNames(t, sourceFolders(t))
	for _, span := range codeSpans(architecture(t)) {
		parts := identifier.FindStringSubmatch(span)
		if parts == nil || names[parts[1]] == nil {
			continue
		}
		if !slices.Contains(names[parts[1]], parts[2]) {
			t.Errorf("%s: package %s has no %s", span, parts[1], parts[2])
		}
	}
}

// linkTarget is a link to another page in Markdown, or a page that is named in a code span.
var linkTarget = regexp.MustCompile("\\]\\(([^)#:]+\\.md)\\)|`((?:docs/)?[\\w/-]+\\.md)`")

func TestPagesLinkToPagesThatExist(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages, "../README.md", "../CONTRIBUTING.md", "../OPEN.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range linkTarget.FindAllStringSubmatch(string(text), -1) {
			target := match[1] + match[2]
			beside := filepath.Join(filepath.Dir(page), target)
			fromRoot := filepath.Join("..", target)
			if !exists(beside) && !exists(fromRoot) {
				t.Errorf("%s links to %s, which is not there", page, target)
			}
		}
	}
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// historyPages are records of the past. They are not updated, so they may contain names that no longer exist.
var historyPages = []string{"PLAYS.md", "ROADMAP.md"}

func allPages(t *testing.T) []string {
	t.Helper()
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	return pages
}

// currentPages lists the pages that must agree with the present code.
func currentPages(t *testing.T) []string {
	t.Helper()
	pages := slices.DeleteFunc(allPages(t), func(page string) bool { return slices.Contains(historyPages, page) })
	return append(pages, "../README.md", "../CONTRIBUTING.md", "../example/README.md")
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var (
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	testName        = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
)

// declaredTests returns the names of all tests, fuzz tests and benchmarks of the repository.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range testDeclaration.FindAllSubmatch(source, -1) {
			names[string(match[1])] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func TestPagesNameTestsThatExist(t *testing.T) {
	declared := declaredTests(t)
	for _, page := range currentPages(t) {
		for _, name := range testName.FindAllString(readPage(t, page), -1) {
			if !declared[name] {
				t.Errorf("%s names the test %s, which does not exist", page, name)
			}
		}
	}
}

func TestPagesNameIdentifiersThatExist(t *testing.T) {
	names := namesByPackage(t, sourceFolders(t))
	for _, page := range currentPages(t) {
		checkIdentifiers(t, page, readPage(t, page), names)
	}
}

var (
	loggedEvent   = regexp.MustCompile(`\bevent=(\w+)`)
	stringLiteral = regexp.MustCompile(`"(\w+)"`)
)

// TestPagesNameLogEventsThatExist checks that each event=NAME of a page is a string in the sources: the message of a
// log record is its event.
func TestPagesNameLogEventsThatExist(t *testing.T) {
	literals := map[string]bool{}
	for _, folder := range sourceFolders(t) {
		for _, path := range sourceFiles(t, folder) {
			for _, match := range stringLiteral.FindAllStringSubmatch(readPage(t, path), -1) {
				literals[match[1]] = true
			}
		}
	}
	for _, page := range currentPages(t) {
		for _, match := range loggedEvent.FindAllStringSubmatch(readPage(t, page), -1) {
			if !literals[match[1]] {
				t.Errorf("%s names event=%s, which no source logs", page, match[1])
			}
		}
	}
}

// sourcePath is a code span that names a folder or a Go file of the repository by its path.
var sourcePath = regexp.MustCompile(`^(?:(?:internal|cmd|example)/[\w/-]+(?:\.go)?|\w+/\w+\.go)$`)

func TestPagesNameFilesThatExist(t *testing.T) {
	for _, page := range currentPages(t) {
		for _, span := range codeSpans(readPage(t, page)) {
			if sourcePath.MatchString(span) && !exists(filepath.Join("..", span)) {
				t.Errorf("%s names %s, which does not exist", page, span)
			}
		}
	}
}

// linkTarget is a link to a page in Markdown, with the anchor of a section if it has one, or a page that is named in a
// code span.
var linkTarget = regexp.MustCompile("\\]\\(([^)#:]*\\.md)?(#[\\w-]+)?\\)|`((?:docs/)?[\\w/-]+\\.md)`")

func TestPagesLinkToPagesThatExist(t *testing.T) {
	for _, page := range append(allPages(t), "../README.md", "../CONTRIBUTING.md", "../OPEN.md", "../example/README.md") {
		for _, match := range linkTarget.FindAllStringSubmatch(readPage(t, page), -1) {
			target, anchor := match[1]+match[3], match[2]
			fromPage := filepath.Join(filepath.Dir(page), target)
			if target == "" {
				fromPage = page
			}
			fromRoot := filepath.Join("..", target)
			if !exists(fromPage) && !exists(fromRoot) {
				t.Errorf("%s links to %s, which does not exist", page, target)
				continue
			}
			if anchor != "" && !slices.Contains(anchors(readPage(t, fromPage)), anchor) {
				t.Errorf("%s links to %s%s, but there is no such heading", page, target, anchor)
			}
		}
	}
}

var (
	heading     = regexp.MustCompile(`(?m)^#+ (.+)$`)
	notInAnchor = regexp.MustCompile(`[^\w -]`)
)

// anchors returns the anchors of a page's headings, as GitHub makes them.
func anchors(page string) []string {
	var all []string
	for _, match := range heading.FindAllStringSubmatch(page, -1) {
		text := notInAnchor.ReplaceAllString(strings.ToLower(match[1]), "")
		all = append(all, "#"+strings.ReplaceAll(text, " ", "-"))
	}
	return all
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

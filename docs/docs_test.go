// Package docs holds the operators' pages. Its tests compare them with the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"
)

// pages are all pages, by their paths from this folder.
var pages = []string{
	"../README.md", "../NOTES.md", "ARCHITECTURE.md", "CAPACITY.md", "GLOSSARY.md", "OPERATIONS.md", "QUESTIONS.md",
	"terms-audit.md", "incidents/2026-12-04-unrequested-responses.md",
}

// logLevels gives the level of each logging method.
var logLevels = map[string]string{"Debug": "DEBUG", "Info": "INFO", "Warn": "WARN", "Error": "ERROR"}

// logLine is a row of the table of log lines, or a call in the code.
type logLine struct{ message, level string }

var tableRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (DEBUG|INFO|WARN|ERROR) \\|")

// Each line that the agent logs is in the table of OPERATIONS.md, with its level, and each row of the table is logged.
func TestLogLinesAreDocumented(t *testing.T) {
	page := readPage(t, "OPERATIONS.md")
	documented := map[logLine]bool{}
	for _, row := range tableRow.FindAllStringSubmatch(page, -1) {
		documented[logLine{message: row[1], level: row[2]}] = true
	}
	messages := logMessages(t)
	logged := map[logLine]bool{}
	for _, dir := range []string{"../cmd/ashshunt", "../internal"} {
		for _, path := range sourceFiles(t, dir) {
			maps.Copy(logged, logCalls(t, path, messages))
		}
	}
	if len(logged) == 0 {
		t.Fatal("found no log line in the code")
	}
	for line := range logged {
		if !documented[line] {
			t.Errorf("%q at level %s is logged, but not in OPERATIONS.md", line.message, line.level)
		}
	}
	for line := range documented {
		if !logged[line] {
			t.Errorf("%q at level %s is in OPERATIONS.md, but not logged", line.message, line.level)
		}
	}
}

var packageRow = regexp.MustCompile("(?m)^\\| `((?:balancer|internal/)[^`]*)` \\|")

// The table of packages in ARCHITECTURE.md names each package that there is, and no other.
func TestPackagesAreDocumented(t *testing.T) {
	page := readPage(t, "ARCHITECTURE.md")
	documented := map[string]bool{}
	for _, row := range packageRow.FindAllStringSubmatch(page, -1) {
		documented[row[1]] = true
	}
	existing := map[string]bool{}
	for _, dir := range []string{"../balancer", "../internal"} {
		for _, path := range sourceFiles(t, dir) {
			existing[strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../")] = true
		}
	}
	for name := range existing {
		if !documented[name] {
			t.Errorf("package %s is not in the table of ARCHITECTURE.md", name)
		}
	}
	for name := range documented {
		if !existing[name] {
			t.Errorf("ARCHITECTURE.md has package %s, which does not exist", name)
		}
	}
}

var sourcePath = regexp.MustCompile("`((?:balancer|internal|cmd|deploy|docs|tools)/[^` ]*\\.[a-z]+)`")

// Each file that the pages name exists.
func TestNamedFilesExist(t *testing.T) {
	for _, name := range pages {
		for _, match := range sourcePath.FindAllStringSubmatch(readPage(t, name), -1) {
			if _, err := os.Stat(filepath.Join("..", match[1])); err != nil {
				t.Errorf("%s names %s: %v", name, match[1], err)
			}
		}
	}
}

// The README's build command is the one of the deploy file.
func TestBuildCommandIsDocumented(t *testing.T) {
	deploy, readme := readPage(t, "../deploy/balancer.toml"), readPage(t, "../README.md")
	build := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindStringSubmatch(deploy)
	if build == nil {
		t.Fatal("deploy/balancer.toml has no build command")
	}
	if !strings.Contains(readme, "\n    "+build[1]+"\n") {
		t.Errorf("README.md lacks the build command %q", build[1])
	}
}

// maxColumns is the width of a line of the pages, tables and code aside.
const maxColumns = 118

// Lines of prose fit into maxColumns.
func TestLinesFit(t *testing.T) {
	for _, name := range pages {
		for i, line := range strings.Split(readPage(t, name), "\n") {
			isTable, isCode := strings.HasPrefix(line, "|"), strings.HasPrefix(line, "    ")
			if !isTable && !isCode && utf8.RuneCountInString(line) > maxColumns {
				t.Errorf("%s:%d has over %d columns", name, i+1, maxColumns)
			}
		}
	}
}

// readPage returns the text of a page or of another file, by its path from this folder.
func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// sourceFiles returns the Go files under a folder, tests left out.
func sourceFiles(t *testing.T, dir string) []string {
	t.Helper()
	var paths []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			paths = append(paths, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return paths
}

// declarations returns the declarations at the top of the Go files under a folder.
func declarations(t *testing.T, dir string) []ast.Decl {
	t.Helper()
	var decls []ast.Decl
	for _, path := range sourceFiles(t, dir) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		decls = append(decls, file.Decls...)
	}
	return decls
}

// logMessages returns the texts of the messages that package telemetry lists, by the names of their constants.
func logMessages(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../internal/telemetry/messages.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	messages := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Msg") {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			t.Fatalf("%s is not a string literal", spec.Names[0].Name)
		}
		messages[spec.Names[0].Name] = unquote(t, literal)
		return true
	})
	return messages
}

func unquote(t *testing.T, literal *ast.BasicLit) string {
	t.Helper()
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// logCalls returns the log lines of a file: calls of a logger's methods. Their messages are in the list of package
// telemetry; one that is written out in the call is an error.
func logCalls(t *testing.T, path string, messages map[string]string) map[logLine]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[logLine]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || logLevels[method.Sel.Name] == "" || !isLogger(method.X) {
			return true
		}
		switch message := call.Args[0].(type) {
		case *ast.BasicLit:
			t.Errorf("%s logs %s, which is not in the list of messages of package telemetry", path, message.Value)
		case *ast.SelectorExpr:
			if text, ok := messages[message.Sel.Name]; ok {
				lines[logLine{message: text, level: logLevels[method.Sel.Name]}] = true
			}
		}
		return true
	})
	return lines
}

// isLogger reports whether an expression is a variable or a field that is named as loggers are.
func isLogger(x ast.Expr) bool {
	name := ""
	switch x := x.(type) {
	case *ast.Ident:
		name = x.Name
	case *ast.SelectorExpr:
		name = x.Sel.Name
	}
	name = strings.ToLower(name)
	return name == "log" || name == "logger" || name == "slog"
}

var testName = regexp.MustCompile(`\bTest[A-Z]\w*`)

// Each test that the audit names exists.
func TestAuditNamesTests(t *testing.T) {
	page := readPage(t, "terms-audit.md")
	existing := map[string]bool{}
	for _, dir := range []string{"../balancer", "../cmd", "../docs", "../internal"} {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, match := range regexp.MustCompile(`(?m)^func (Test\w+)\(`).FindAllStringSubmatch(string(text), -1) {
				existing[match[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range testName.FindAllString(page, -1) {
		if !existing[name] {
			t.Errorf("terms-audit.md names %s, which does not exist", name)
		}
	}
}

var constantRow = regexp.MustCompile("(?m)^\\| `([a-zA-Z]\\w*)` \\| `([^`]+)` \\|")

// The tables of CAPACITY.md have each untyped constant of the decision module, enumerations aside, with its value.
func TestConstantsAreDocumented(t *testing.T) {
	documented := map[string]string{}
	for _, row := range constantRow.FindAllStringSubmatch(readPage(t, "CAPACITY.md"), -1) {
		documented[row[1]] = row[2]
	}
	declared := declaredConstants(t)
	for name, value := range declared {
		if documented[name] != value {
			t.Errorf("%s is %s, in CAPACITY.md %q", name, value, documented[name])
		}
	}
	for name := range documented {
		if declared[name] == "" {
			t.Errorf("CAPACITY.md has %s, which does not exist", name)
		}
	}
}

// declaredConstants returns the untyped constants of the decision module with their values as they are written.
func declaredConstants(t *testing.T) map[string]string {
	t.Helper()
	values := map[string]string{}
	for _, decl := range declarations(t, "../balancer") {
		general, ok := decl.(*ast.GenDecl)
		if !ok || general.Tok != token.CONST {
			continue
		}
		for _, spec := range general.Specs {
			addConstants(values, spec)
		}
	}
	return values
}

func addConstants(values map[string]string, spec ast.Spec) {
	constant, ok := spec.(*ast.ValueSpec)
	if !ok || constant.Type != nil {
		return
	}
	for i, value := range constant.Values {
		if text := types.ExprString(value); text != "iota" {
			values[constant.Names[i].Name] = text
		}
	}
}

// codeColumns are the headers of the columns that name code, by page.
var codeColumns = map[string]string{"GLOSSARY.md": "code", "ARCHITECTURE.md": "type", "terms-audit.md": "paths"}

var quotedCode = regexp.MustCompile("`([^`]+)`")

// Each name in the columns that name code is declared in the decision module, or is a folder.
func TestTablesNameCode(t *testing.T) {
	declared := declaredNames(t)
	for page, header := range codeColumns {
		names := quotedCode.FindAllStringSubmatch(tableColumn(t, page, header), -1)
		if len(names) == 0 {
			t.Errorf("%s names no code in columns of the header %q", page, header)
		}
		for _, name := range names {
			if _, err := os.Stat(filepath.Join("..", name[1])); !declared[name[1]] && err != nil {
				t.Errorf("%s names %s, which does not exist", page, name[1])
			}
		}
	}
}

// tableColumn returns what stands under a header in the tables of a page.
func tableColumn(t *testing.T, page, header string) string {
	t.Helper()
	const noColumn = -1
	column := noColumn
	var text strings.Builder
	for line := range strings.SplitSeq(readPage(t, page), "\n") {
		if !strings.HasPrefix(line, "|") {
			column = noColumn
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if i := slices.Index(cells, header); i >= 0 {
			column = i
		}
		if column != noColumn && column < len(cells) {
			text.WriteString(cells[column] + "\n")
		}
	}
	return text.String()
}

// declaredNames returns the names of package balancer, those of fields and methods behind their type's.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, decl := range declarations(t, "../balancer") {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			names[methodName(decl)] = true
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				addSpecNames(names, spec)
			}
		}
	}
	return names
}

func methodName(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return function.Name.Name
	}
	receiver := types.ExprString(function.Recv.List[0].Type)
	return strings.TrimPrefix(receiver, "*") + "." + function.Name.Name
}

func addSpecNames(names map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range structure.Fields.List {
			for _, name := range field.Names {
				names[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/record"
)

// ErrFile reports a file that cannot be parsed as records.
var ErrFile = errors.New("invalid record file")

// document is a record in a file, with its position.
type document struct {
	file   string
	line   int
	node   ast.Node
	object record.Object
}

// recordFields are the fields of a record in a file. Revision is optional: the record is
// written only if the platform still has that revision.
type recordFields struct {
	Kind     record.Kind `yaml:"kind"`
	Name     string      `yaml:"name"`
	Schema   int         `yaml:"schema"`
	Revision uint64      `yaml:"revision"`
	Body     any         `yaml:"body"`
}

// readDocuments reads all records of a YAML or JSON file. It checks only their kind.
func readDocuments(file string) ([]document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, errors.Wrapf(ErrFile, "%s: %v", file, yamlErrorText(err))
	}
	var documents []document
	for _, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType {
			continue
		}
		d, err := readDocument(file, doc.Body)
		if err != nil {
			return nil, err
		}
		documents = append(documents, d)
	}
	if len(documents) == 0 {
		return nil, errors.Wrapf(ErrFile, "%s: contains no record", file)
	}
	return documents, nil
}

func readDocument(file string, node ast.Node) (document, error) {
	var fields recordFields
	line := firstTokenLine(node)
	if err := yaml.NodeToValue(node, &fields, yaml.Strict()); err != nil {
		return document{}, errors.Wrapf(ErrFile, "%s: %v", file, yamlErrorText(err))
	}
	if !fields.Kind.Known() {
		return document{}, errors.Wrapf(ErrFile, "%s:%d: field \"kind\": value %q is not one of %v", file, line, fields.Kind, record.OperatorKinds)
	}
	body, err := json.Marshal(fields.Body)
	if err != nil {
		return document{}, errors.Wrapf(ErrFile, "%s:%d: field \"body\": %v", file, line, err)
	}
	o := record.Object{Kind: fields.Kind, Name: fields.Name, Schema: fields.Schema, Revision: fields.Revision, Body: body}
	return document{file: file, line: line, node: node, object: o}, nil
}

// yamlErrorText returns the position and the message of an error of the YAML library,
// without the quoted source.
func yamlErrorText(err error) string {
	return yaml.FormatError(err, false, false)
}

// firstTokenLine returns the line on which a node begins. The token of a mapping can be
// the colon after its first key, so it goes back to the first token of that line.
func firstTokenLine(node ast.Node) int {
	t := node.GetToken()
	for t.Prev != nil && t.Prev.Position.Line == t.Position.Line {
		t = t.Prev
	}
	return t.Position.Line
}

// check checks the record. Its error names the file and the line of the invalid field.
func (d document) check() error {
	err := d.object.Check()
	if err == nil {
		return nil
	}
	line := d.line
	var field *record.FieldError
	if errors.As(err, &field) {
		line = d.fieldLine(field.Field)
	} else if unknown := unknownField.FindStringSubmatch(err.Error()); unknown != nil {
		line = d.keyLine(unknown[1])
	}
	return errors.Wrapf(err, "%s:%d", d.file, line)
}

// unknownField matches the error of the JSON decoder about an unknown field of a body.
var unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)

// keyLine returns the line of the first key with a name, or the first line of the
// record if there is none.
func (d document) keyLine(name string) int {
	finder := &keyFinder{name: name, line: d.line}
	ast.Walk(finder, d.node)
	return finder.line
}

// keyFinder is an ast.Visitor that finds the first key with a name.
type keyFinder struct {
	name  string
	line  int
	found bool
}

// Visit implements ast.Visitor.
func (f *keyFinder) Visit(n ast.Node) ast.Visitor {
	pair, ok := n.(*ast.MappingValueNode)
	if ok && !f.found && pair.Key.GetToken().Value == f.name {
		f.found = true
		f.line = pair.Key.GetToken().Position.Line
	}
	return f
}

// fieldLine returns the line of a field of the body, or the first line of the record
// if the body does not have it.
func (d document) fieldLine(field string) int {
	path, err := yaml.PathString("$.body." + field)
	if err != nil {
		return d.line
	}
	node, err := path.FilterNode(d.node)
	if err != nil || node == nil {
		return d.line
	}
	return node.GetToken().Position.Line
}

// formatDocument returns an object as YAML that readDocuments can read.
func formatDocument(o record.Object) ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "kind: %s\nname: %s\nschema: %d\nrevision: %d\nbody:\n", o.Kind, o.Name, o.Schema, o.Revision)
	body, err := yaml.JSONToYAML(o.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "print %s", o.Key())
	}
	for _, line := range bytes.Split(bytes.TrimRight(body, "\n"), []byte("\n")) {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	return b.Bytes(), nil
}

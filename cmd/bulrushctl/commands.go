package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/settings"
)

// revisionLine matches the first line of a document that "service get" printed.
// It holds the revision that the operator's edit is based on.
var revisionLine = regexp.MustCompile(`\A# revision: ([0-9]+)\r?\n`)

// settingsField matches a top-level field that settings files have and service
// documents lack.
var settingsField = regexp.MustCompile(`(?m)^(instance|platform|peers|listen):`)

func (t *tool) serviceApply() error {
	b, doc, err := t.readDocument()
	if err != nil {
		return err
	}
	c, err := t.client()
	if err != nil {
		return err
	}
	current, err := t.revisionOf(c, doc.Service, b)
	if err != nil {
		return err
	}
	accepted, err := c.ApplyService(t.ctx, doc.Service, b, t.editOptions(current))
	if err != nil {
		return err
	}
	return t.printAccepted("service "+string(doc.Service), accepted)
}

// revisionOf returns the default of --revision for an apply: the revision in the
// file's first line, or else the service's current one. It is 0 if the service does
// not exist, or if the file has no revision and --revision overrides the default.
func (t *tool) revisionOf(c *operator.Client, name ident.ServiceName, document []byte) (ident.Revision, error) {
	if m := revisionLine.FindSubmatch(document); m != nil {
		r, err := strconv.ParseUint(string(m[1]), 10, 64)
		return ident.Revision(r), errors.Wrap(err, "read the revision in the first line")
	}
	if t.revision != noRevision {
		return 0, nil
	}
	s, err := c.GetService(t.ctx, name)
	if isKind(err, operator.KindUnknownService) {
		return 0, nil
	}
	return s.Revision, err
}

func (t *tool) readDocument() ([]byte, service.Document, error) {
	b, err := os.ReadFile(t.file)
	if err != nil {
		return nil, service.Document{}, errors.Wrap(err, "read document: name an existing, readable file")
	}
	doc, err := service.ParseFile(t.file, b)
	return b, doc, err
}

func (t *tool) serviceGet() error {
	c, err := t.client()
	if err != nil {
		return err
	}
	s, err := c.GetService(t.ctx, ident.ServiceName(t.name))
	if err != nil {
		return err
	}
	if t.output == formatJSON {
		return t.print(s, nil)
	}
	_, err = fmt.Fprintf(t.stdout, "# revision: %d\n%s", s.Revision, s.Document)
	return err
}

func (t *tool) serviceList() error {
	c, err := t.client()
	if err != nil {
		return err
	}
	list, err := c.ListServices(t.ctx)
	if err != nil {
		return err
	}
	return t.print(list, func(w *table) {
		w.row("NAME", "KIND", "OWNER", "REVISION")
		for _, s := range list.Services {
			w.row(s.Name, s.Kind, s.Owner, s.Revision)
		}
	})
}

func (t *tool) serviceDiff() error {
	_, doc, err := t.readDocument()
	if err != nil {
		return err
	}
	c, err := t.client()
	if err != nil {
		return err
	}
	s, err := c.GetService(t.ctx, doc.Service)
	if err != nil && !isKind(err, operator.KindUnknownService) {
		return err
	}
	want, err := doc.YAML()
	if err != nil {
		return err
	}
	lines := diffLines(s.Document, string(want))
	if len(lines) == 0 {
		return nil
	}
	for _, l := range lines {
		fmt.Fprintln(t.stdout, l)
	}
	return errDocumentsDiffer
}

func (t *tool) serviceDelete() error {
	c, err := t.client()
	if err != nil {
		return err
	}
	name := ident.ServiceName(t.name)
	s, err := c.GetService(t.ctx, name)
	if err != nil {
		return err
	}
	accepted, err := c.DeleteService(t.ctx, name, t.editOptions(s.Revision))
	if err != nil {
		return err
	}
	return t.printAccepted("service "+t.name, accepted)
}

func (t *tool) setDrain(kind config.DrainKind, out bool) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	d, err := c.GetDrain(t.ctx, kind, t.name)
	if err != nil {
		return err
	}
	accepted, err := c.SetDrain(t.ctx, kind, t.name, out, t.editOptions(d.Revision))
	if err != nil {
		return err
	}
	return t.printAccepted(string(kind)+" "+t.name, accepted)
}

func (t *tool) status() error {
	c, err := t.client()
	if err != nil {
		return err
	}
	s, err := c.Status(t.ctx)
	if err != nil {
		return err
	}
	return t.print(s, func(w *table) { printStatus(w, s) })
}

func printStatus(w *table, s operator.Status) {
	w.row("INSTANCE", "DATA CENTRE", "REVISION", "HEAD", "READY", "ENTRIES")
	w.row(s.Instance, s.DataCentre, s.Revision, s.Head, s.Ready, s.Entries)
	w.row()
	w.row("SERVICE", "KIND", "WANTED", "USABLE", "DRAINING", "COLD")
	for _, x := range s.Services {
		w.row(x.Name, x.Kind, x.Wanted, x.Usable, x.Draining, x.Cold)
	}
	w.row()
	w.row("SERVICE", "WITHOUT PARTNER", "USABLE")
	for _, x := range s.Services {
		for _, p := range x.WithoutPartner {
			w.row(x.Name, p.Partner, p.Usable)
		}
	}
	w.row()
	w.row("DRAIN", "NAME", "OUT", "REVISION", "TEAM", "REASON")
	for _, d := range s.Drains {
		w.row(d.Kind, d.Name, d.Out, d.Revision, d.Team, d.Reason)
	}
}

// check validates a settings file or a service document. A file with one of the
// fields instance, platform, peers or listen is a settings file. With --explain it
// prints the file with every default instead.
func (t *tool) check() error {
	b, err := os.ReadFile(t.file)
	if err != nil {
		return errors.Wrap(err, "read file: name an existing, readable file")
	}
	var withDefaults []byte
	if settingsField.Match(b) {
		cfg, err := settings.Parse(t.file, b)
		if err != nil {
			return err
		}
		withDefaults, err = cfg.RedactedYAML()
		if err != nil {
			return err
		}
	} else {
		doc, err := service.ParseFile(t.file, b)
		if err != nil {
			return err
		}
		withDefaults, err = doc.YAML()
		if err != nil {
			return err
		}
	}
	if t.printDefaults {
		_, err = t.stdout.Write(withDefaults)
		return err
	}
	_, err = fmt.Fprintf(t.stdout, "%s: valid\n", t.file)
	return err
}

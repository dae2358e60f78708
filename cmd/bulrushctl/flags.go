package main

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/operator"
)

// Environment variables that are used when the flag is not given.
const (
	envAddresses = "BULRUSH_ADDRESSES"
	envToken     = "BULRUSH_TOKEN"
)

// noRevision is the value of --revision if the flag is not given: the edit expects
// the revision in the file's first line (apply only), or else the current one.
const noRevision = ^uint64(0)

// tool holds the parsed command line and the process environment.
type tool struct {
	ctx            context.Context
	stdout, stderr io.Writer
	env            func(string) string

	addresses []string
	tokenFile string
	output    string
	timeout   time.Duration

	name             string
	file             string
	reason           string
	revision         uint64
	force            bool
	printDefaults    bool
	machineNames     []string
	expectationsFile string
	logFiles         []string
}

// command runs a subcommand after the command line was parsed.
type command func() error

// subcommand pairs a parsed subcommand with the function that runs it.
type subcommand struct {
	sub *flaggy.Subcommand
	run command
}

// parse parses the command line and returns the command to run.
func (t *tool) parse(args []string) (command, error) {
	t.output, t.revision, t.timeout = formatTable, noRevision, operator.DefaultTimeout
	p := flaggy.NewParser("bulrushctl")
	p.Description = "operators' tool of bulrushfall"
	p.Version = version
	p.AdditionalHelpAppend = "\nExit codes: " + exitCodesHelp
	p.StringSlice(&t.addresses, "a", "address", "operators' address (ip:port) of an entry instance; repeat it for more ("+envAddresses+", separated by commas)")
	p.String(&t.tokenFile, "t", "token-file", "file with the team's bearer token ("+envToken+" holds the token itself)")
	p.String(&t.output, "o", "output", "output format: table, json or yaml")
	p.Duration(&t.timeout, "", "timeout", "time to wait for an answer")
	subcommands := t.serviceCommands(p)
	subcommands = append(subcommands, t.drainCommands(p, "datacentre", "drain", config.DrainDataCentre)...)
	subcommands = append(subcommands, t.drainCommands(p, "instance", "drain", config.DrainInstance)...)
	subcommands = append(subcommands, t.drainCommands(p, "partner", "withdraw", config.DrainPartner)...)
	subcommands = append(subcommands, t.statusAndCheckCommands(p)...)
	subcommands = append(subcommands, t.traceCommands(p)...)
	subcommands = append(subcommands, t.explainCommands(p)...)
	if err := p.ParseArgs(args); err != nil {
		return nil, &usageError{err.Error()}
	}
	switch t.output {
	case formatTable, formatJSON, formatYAML:
	default:
		return nil, &usageError{"--output " + t.output + " is unknown: use table, json or yaml"}
	}
	for _, c := range subcommands {
		if c.sub.Used {
			return c.run, nil
		}
	}
	p.ShowHelpWithMessage("name a command")
	return nil, &usageError{"no command given"}
}

// addSubcommand attaches a top-level subcommand to the parser.
func addSubcommand(p *flaggy.Parser, name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	p.AttachSubcommand(s, 1)
	return s
}

// addNestedSubcommand attaches a subcommand to another one.
func addNestedSubcommand(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	parent.AttachSubcommand(s, 1)
	return s
}

func (t *tool) serviceCommands(p *flaggy.Parser) []subcommand {
	g := addSubcommand(p, "service", "service documents")
	apply := addNestedSubcommand(g, "apply", "check a document and apply it")
	apply.AddPositionalValue(&t.file, "file", 1, true, "document (YAML)")
	t.editFlags(apply)
	get := addNestedSubcommand(g, "get", "print a document; apply reads the revision from its first line")
	get.AddPositionalValue(&t.name, "name", 1, true, "service")
	list := addNestedSubcommand(g, "list", "list services")
	diff := addNestedSubcommand(g, "diff", "compare a document with the current one")
	diff.AddPositionalValue(&t.file, "file", 1, true, "document (YAML)")
	del := addNestedSubcommand(g, "delete", "delete a document")
	del.AddPositionalValue(&t.name, "name", 1, true, "service")
	t.editFlags(del)
	return []subcommand{
		{apply, t.serviceApply},
		{get, t.serviceGet},
		{list, t.serviceList},
		{diff, t.serviceDiff},
		{del, t.serviceDelete},
	}
}

func (t *tool) editFlags(s *flaggy.Subcommand) {
	s.UInt64(&t.revision, "r", "revision", "revision that the edit is based on; without it the current one, or for apply the one in the file's first line")
	s.String(&t.reason, "m", "reason", "reason for the audit record")
}

func (t *tool) drainCommands(p *flaggy.Parser, name, drainVerb string, kind config.DrainKind) []subcommand {
	g := addSubcommand(p, name, "take a "+name+" out of service or bring it back")
	drain := addNestedSubcommand(g, drainVerb, "send it no new requests")
	restore := addNestedSubcommand(g, "restore", "send it new requests again")
	for _, s := range []*flaggy.Subcommand{drain, restore} {
		s.AddPositionalValue(&t.name, "name", 1, true, name)
		t.editFlags(s)
	}
	drain.Bool(&t.force, "f", "force", "drain a name that is not listed")
	return []subcommand{
		{drain, func() error { return t.setDrain(kind, true) }},
		{restore, func() error { return t.setDrain(kind, false) }},
	}
}

func (t *tool) statusAndCheckCommands(p *flaggy.Parser) []subcommand {
	status := addSubcommand(p, "status", "state of the entry instance that answers")
	check := addSubcommand(p, "check", "check a service document or a settings file without a daemon")
	check.AddPositionalValue(&t.file, "file", 1, true, "document or settings (YAML)")
	check.Bool(&t.printDefaults, "e", "explain", "print the file with every default")
	return []subcommand{{status, t.status}, {check, t.check}}
}

// client returns a client for the addresses and the token that flags or
// environment variables name.
func (t *tool) client() (*operator.Client, error) {
	addresses := t.addresses
	if len(addresses) == 0 && t.env(envAddresses) != "" {
		addresses = strings.Split(t.env(envAddresses), ",")
	}
	if len(addresses) == 0 {
		return nil, &usageError{"no address given: use --address or " + envAddresses}
	}
	token := t.env(envToken)
	if t.tokenFile != "" {
		b, err := os.ReadFile(t.tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read token: name an existing, readable file")
		}
		token = strings.TrimSpace(string(b))
	}
	if token == "" {
		return nil, &usageError{"no token given: use --token-file or " + envToken}
	}
	if t.timeout <= 0 {
		return nil, &usageError{"--timeout has to be positive, such as 10s"}
	}
	client := operator.NewClient(addresses, token)
	client.SetTimeout(t.timeout)
	return client, nil
}

// editOptions returns the options of an edit. The edit expects the revision that
// --revision names, or else defaultRevision.
func (t *tool) editOptions(defaultRevision ident.Revision) operator.Edit {
	if t.revision != noRevision {
		defaultRevision = ident.Revision(t.revision)
	}
	return operator.Edit{Expected: defaultRevision, Reason: t.reason, Force: t.force}
}

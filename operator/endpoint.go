package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/trace"
)

// Configuration reads and edits the configuration of an entry instance.
// *configshell.Shell implements it.
type Configuration interface {
	View() *config.View
	Edit(ctx context.Context, e config.Edit) (ident.Revision, error)
}

// Options holds the dependencies of the interface.
type Options struct {
	Configuration Configuration
	// Team returns the team whose bearer token has the given SHA-256.
	Team func(tokenSHA256 string) (ident.Team, bool)
	// Status returns the status without the fields that come from the
	// configuration. It may be nil.
	Status func() Status
	// DrainTargets returns the valid names for a drain of a kind. If it is nil or
	// returns an empty list, every name is allowed.
	DrainTargets func(kind config.DrainKind) []string
	// Recorder records traces of this entry instance. If it is nil, traces are
	// not available.
	Recorder *trace.Recorder
	// TraceHeader returns the header of a trace. It may be nil.
	TraceHeader func() trace.Header
	// Now returns the wall-clock time for audit rows.
	Now func() time.Time
}

// editParams holds the decoded parameters that all edits share.
type editParams struct {
	expected ident.Revision
	reason   string
}

type (
	getService   struct{ name ident.ServiceName }
	applyService struct {
		editParams
		name ident.ServiceName
		body []byte
	}
	deleteService struct {
		editParams
		name ident.ServiceName
	}
	getDrain struct {
		kind config.DrainKind
		name string
	}
	setDrain struct {
		editParams
		kind    config.DrainKind
		name    string
		drained bool
		force   bool
	}
)

type teamKey struct{}

func teamOf(ctx context.Context) ident.Team {
	team, _ := ctx.Value(teamKey{}).(ident.Team)
	return team
}

func (o Options) listServices(context.Context, any) (any, error) {
	out := Services{Services: []Service{}}
	for _, v := range o.Configuration.View().Services {
		out.Services = append(out.Services, serviceOf(v))
	}
	return out, nil
}

func (o Options) getService(_ context.Context, request any) (any, error) {
	name := request.(getService).name
	v, ok := o.Configuration.View().Service(name)
	if !ok {
		return nil, newProblem(KindUnknownService, http.StatusNotFound, "No such service",
			"%q has no document in force here: check the name with `bulrushctl service list`", name)
	}
	b, err := v.Document.YAML()
	if err != nil {
		return nil, err
	}
	out := serviceOf(v)
	out.Document = string(b)
	return out, nil
}

func (o Options) applyService(ctx context.Context, request any) (any, error) {
	q := request.(applyService)
	doc, err := service.ParseFile(string(q.name), q.body)
	if err != nil {
		return nil, err
	}
	if doc.Service != q.name {
		return nil, newProblem(KindBadRequest, http.StatusBadRequest, "The document is of another service",
			"the path names %q and the document %q: use the same name", q.name, doc.Service)
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	if len(body) > maxDocumentBytes {
		return nil, &http.MaxBytesError{Limit: maxDocumentBytes}
	}
	return o.runEdit(ctx, config.Edit{
		Verb: config.VerbApply, Key: config.ServiceKey(q.name), Owner: doc.Owner, Body: body,
	}, q.editParams)
}

func (o Options) deleteService(ctx context.Context, request any) (any, error) {
	q := request.(deleteService)
	return o.runEdit(ctx, config.Edit{
		Verb: config.VerbDelete, Key: config.ServiceKey(q.name), Owner: teamOf(ctx),
	}, q.editParams)
}

func (o Options) listDrains(context.Context, any) (any, error) {
	return Drains{Drains: o.drains()}, nil
}

func (o Options) drains() []Drain {
	out := []Drain{}
	for _, v := range o.Configuration.View().Drains {
		out = append(out, drainOf(v))
	}
	return out
}

func (o Options) getDrain(_ context.Context, request any) (any, error) {
	q := request.(getDrain)
	if v, ok := o.Configuration.View().Drains.Get(q.kind, q.name); ok {
		return drainOf(v), nil
	}
	return Drain{Kind: q.kind, Name: q.name}, nil
}

func (o Options) setDrain(ctx context.Context, request any) (any, error) {
	q := request.(setDrain)
	if err := o.checkTarget(q); err != nil {
		return nil, err
	}
	d := config.Drain{Kind: q.kind, Name: q.name, Out: q.drained, Reason: q.reason, Team: teamOf(ctx)}
	body, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode drain")
	}
	verb := config.VerbRestore
	if q.drained {
		verb = config.VerbDrain
	}
	return o.runEdit(ctx, config.Edit{Verb: verb, Key: d.Key(), Owner: d.Team, Body: body}, q.editParams)
}

// checkTarget rejects a drain of an unknown name, because a drain with a misspelt
// name would be accepted and drain nothing. A restore is always allowed.
func (o Options) checkTarget(q setDrain) error {
	if !q.drained || q.force || o.DrainTargets == nil {
		return nil
	}
	known := o.DrainTargets(q.kind)
	if len(known) == 0 || slices.Contains(known, q.name) {
		return nil
	}
	return newProblem(KindUnknownTarget, http.StatusNotFound, "Nothing has this name",
		"no %s is called %q: use one of %s, or force=true to drain it before it is listed",
		q.kind, q.name, abbreviateNames(known))
}

// maxListedNames bounds the names in a message, because there may be thousands of
// instances.
const maxListedNames = 10

func abbreviateNames(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}

// runEdit runs an edit of the authenticated team.
func (o Options) runEdit(ctx context.Context, e config.Edit, q editParams) (any, error) {
	e.Attempt = ident.AttemptID(uuid.NewString())
	e.Team, e.Expected, e.Reason, e.RequestedAt = teamOf(ctx), q.expected, q.reason, o.Now()
	revision, err := o.Configuration.Edit(ctx, e)
	if err != nil {
		p := asProblem(err)
		p.Attempt = e.Attempt
		return nil, p
	}
	return Accepted{Revision: revision, Attempt: e.Attempt}, nil
}

func (o Options) status(context.Context, any) (any, error) {
	v := o.Configuration.View()
	out := Status{Ready: v.Ready}
	if o.Status != nil {
		out = o.Status()
	}
	out.Revision, out.Head = v.Revision, v.Head
	out.Drains = o.drains()
	return out, nil
}

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

// Configuration is the configuration of an entry instance.
// *configshell.Shell implements it.
type Configuration interface {
	View() *config.View
	Edit(ctx context.Context, e config.Edit) (ident.Revision, error)
}

// Options are the parts that the interface works with.
type Options struct {
	Configuration Configuration
	// Team returns the team whose token has a SHA-256.
	Team func(tokenSHA256 string) (ident.Team, bool)
	// Status fills in what the configuration does not know. It may be nil.
	Status func() Status
	// DrainTargets lists the names that a drain of a kind may name. An empty list
	// allows all. It may be nil.
	DrainTargets func(kind config.DrainKind) []string
	// Recorder records traces of this entry instance; nil means that it cannot.
	Recorder *trace.Recorder
	// TraceHeader is the header of the traces. It may be nil.
	TraceHeader func() trace.Header
	// Now is the wall clock for audit rows.
	Now func() time.Time
}

// edit is the decoded part that all edits share.
type edit struct {
	expected ident.Revision
	reason   string
}

type (
	getService   struct{ name ident.ServiceName }
	applyService struct {
		edit
		name ident.ServiceName
		body []byte
	}
	deleteService struct {
		edit
		name ident.ServiceName
	}
	getDrain struct {
		kind config.DrainKind
		name string
	}
	setDrain struct {
		edit
		kind  config.DrainKind
		name  string
		out   bool
		force bool
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
	return o.run(ctx, config.Edit{
		Verb: config.VerbApply, Key: config.ServiceKey(q.name), Owner: doc.Owner, Body: body,
	}, q.edit)
}

func (o Options) deleteService(ctx context.Context, request any) (any, error) {
	q := request.(deleteService)
	return o.run(ctx, config.Edit{
		Verb: config.VerbDelete, Key: config.ServiceKey(q.name), Owner: teamOf(ctx),
	}, q.edit)
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
	d := config.Drain{Kind: q.kind, Name: q.name, Out: q.out, Reason: q.reason, Team: teamOf(ctx)}
	body, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode drain")
	}
	verb := config.VerbRestore
	if q.out {
		verb = config.VerbDrain
	}
	return o.run(ctx, config.Edit{Verb: verb, Key: d.Key(), Owner: d.Team, Body: body}, q.edit)
}

// checkTarget refuses a drain of something that does not exist: a misspelt name
// would be accepted and drain nothing. A restore is always possible.
func (o Options) checkTarget(q setDrain) error {
	if !q.out || q.force || o.DrainTargets == nil {
		return nil
	}
	known := o.DrainTargets(q.kind)
	if len(known) == 0 || slices.Contains(known, q.name) {
		return nil
	}
	return newProblem(KindUnknownTarget, http.StatusNotFound, "Nothing has this name",
		"no %s is called %q: use one of %s, or force=true to drain it before it is listed",
		q.kind, q.name, someNames(known))
}

// maxNames bounds the names in a message: there are thousands of instances.
const maxNames = 10

func someNames(names []string) string {
	if len(names) <= maxNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
}

// run runs an edit of the authenticated team.
func (o Options) run(ctx context.Context, e config.Edit, q edit) (any, error) {
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

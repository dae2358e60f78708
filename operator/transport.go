package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Paths of the interface.
const (
	servicesPath = "/operator/v1/services"
	drainsPath   = "/operator/v1/drains"
	statusPath   = "/operator/v1/status"
	tracePath    = "/operator/v1/trace"
	// traceStartPath and traceStopPath control the recorder.
	traceStartPath = tracePath + "/start"
	traceStopPath  = tracePath + "/stop"
)

// maxDocumentBytes bounds a service document, both as YAML and as JSON. A record,
// which contains the JSON, has to fit into one frame of the peer protocol, which is
// limited to 1 MiB, with room for the encoding.
const maxDocumentBytes = 256 << 10

// maxReasonBytes bounds the reason of an edit, which its audit row stores.
const maxReasonBytes = 512

// Handler returns the HTTP handler of the interface.
func Handler(o Options) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
		mux.Handle(pattern, kithttp.NewServer(e, requireTeam(decode), encode,
			kithttp.ServerBefore(o.authenticate), kithttp.ServerErrorEncoder(writeProblem)))
	}
	handle("GET "+servicesPath, o.listServices, decodeEmpty)
	handle("GET "+servicesPath+"/{name}", o.getService, decodeGetService)
	handle("PUT "+servicesPath+"/{name}", o.applyService, decodeApplyService)
	handle("DELETE "+servicesPath+"/{name}", o.deleteService, decodeDeleteService)
	handle("GET "+drainsPath, o.listDrains, decodeEmpty)
	handle("GET "+drainsPath+"/{kind}/{name}", o.getDrain, decodeGetDrain)
	handle("PUT "+drainsPath+"/{kind}/{name}", o.setDrain, decodeSetDrain(true))
	handle("DELETE "+drainsPath+"/{kind}/{name}", o.setDrain, decodeSetDrain(false))
	handle("GET "+statusPath, o.status, decodeEmpty)
	handle("GET "+tracePath, o.getTrace, decodeEmpty)
	handle("POST "+traceStartPath, o.startTrace, decodeEmpty)
	handle("POST "+traceStopPath, o.stopTrace, decodeEmpty)
	return mux
}

// encode writes an answer: a trace as newline-delimited JSON, any other as JSON.
func encode(ctx context.Context, w http.ResponseWriter, response any) error {
	if write, ok := response.(traceWriter); ok {
		w.Header().Set("Content-Type", "application/x-ndjson")
		return write(w)
	}
	return kithttp.EncodeJSONResponse(ctx, w, response)
}

// authenticate puts the team of the bearer token into the context.
func (o Options) authenticate(ctx context.Context, r *http.Request) context.Context {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ctx
	}
	sum := sha256.Sum256([]byte(token))
	team, ok := o.Team(hex.EncodeToString(sum[:]))
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, teamKey{}, team)
}

// requireTeam rejects a request without a team's token before decoding it.
func requireTeam(decode kithttp.DecodeRequestFunc) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, r *http.Request) (any, error) {
		if teamOf(ctx) == "" {
			return nil, newProblem(KindUnknownTeam, http.StatusUnauthorized, "The bearer token belongs to no team",
				"send a token whose SHA-256 is listed under operators in the daemon's settings")
		}
		return decode(ctx, r)
	}
}

func decodeEmpty(context.Context, *http.Request) (any, error) { return nil, nil }

func decodeGetService(_ context.Context, r *http.Request) (any, error) {
	return getService{name: ident.ServiceName(r.PathValue("name"))}, nil
}

func decodeApplyService(_ context.Context, r *http.Request) (any, error) {
	e, err := decodeEdit(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxDocumentBytes))
	if err != nil {
		return nil, errors.Wrap(asBadRequest(err), "read document")
	}
	return applyService{editParams: e, name: ident.ServiceName(r.PathValue("name")), body: body}, nil
}

// asBadRequest returns the error of a too large body unchanged, and any other
// error as a bad request.
func asBadRequest(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	return badRequest("%v: send the whole document", err)
}

func decodeDeleteService(_ context.Context, r *http.Request) (any, error) {
	e, err := decodeEdit(r)
	return deleteService{editParams: e, name: ident.ServiceName(r.PathValue("name"))}, err
}

func decodeGetDrain(_ context.Context, r *http.Request) (any, error) {
	kind, err := decodeDrainKind(r)
	return getDrain{kind: kind, name: r.PathValue("name")}, err
}

func decodeSetDrain(drained bool) kithttp.DecodeRequestFunc {
	return func(_ context.Context, r *http.Request) (any, error) {
		kind, err := decodeDrainKind(r)
		if err != nil {
			return nil, err
		}
		e, err := decodeEdit(r)
		force := r.URL.Query().Get("force") == "true"
		return setDrain{editParams: e, kind: kind, name: r.PathValue("name"), drained: drained, force: force}, err
	}
}

func decodeDrainKind(r *http.Request) (config.DrainKind, error) {
	switch kind := config.DrainKind(r.PathValue("kind")); kind {
	case config.DrainDataCentre, config.DrainInstance, config.DrainPartner:
		return kind, nil
	default:
		return "", badRequest("%q cannot be drained: use datacentre, instance or partner", kind)
	}
}

func decodeEdit(r *http.Request) (editParams, error) {
	header := r.Header.Get("If-Match")
	if header == "" {
		return editParams{}, newProblem(KindRevisionRequired, http.StatusPreconditionRequired, "The edit names no revision",
			`send If-Match with the revision that you saw, such as "12", or "0" for a new record`)
	}
	revision, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		return editParams{}, badRequest("If-Match %q is not a revision: send a number in quotes", header)
	}
	reason := r.URL.Query().Get("reason")
	if len(reason) > maxReasonBytes {
		return editParams{}, badRequest("the reason is too long: use at most %d bytes", maxReasonBytes)
	}
	return editParams{expected: ident.Revision(revision), reason: reason}, nil
}

func badRequest(format string, args ...any) *Problem {
	return newProblem(KindBadRequest, http.StatusBadRequest, "The request is malformed", "%s", fmt.Sprintf(format, args...))
}

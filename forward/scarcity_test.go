package forward

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/scarcity"
)

// unequalRoutes returns the test's routes with one of another urgency, and an engine with figures.
func unequalRoutes() *route.Table {
	c := testRoutes().Config
	c.Routes[0].Urgency = 1
	c.Services[1].Slots = 6
	c.Services[1].Engine = route.Engine{StepTime: 6 * time.Millisecond, StepTimePerRequest: time.Millisecond, ReadRate: 50000, StepsPerPass: 5, UsualPrompt: 700, UsualAnswer: 100}
	return route.Compile(c)
}

func scarceSetup(t *testing.T, peers Peers, heads ...fleet.Server) *testSetup {
	t.Helper()
	r := newTestSetup(t)
	r.handler.opts.Peers = peers
	l := fleet.NewList()
	for _, s := range heads {
		l.Put(s)
	}
	r.handler.SetView(NewView(unequalRoutes(), l.Snapshot(), nil))
	return r
}

func answerStream(w io.Writer, q *http.Request) bool {
	streamHead(w, q.Header.Get("X-Request"))
	chunk(w, events(1, 2))
	streamEnd(w)
	return true
}

// A request that came back after a refusal runs after those that can be in time.
func TestReturnedRequestIsDeferred(t *testing.T) {
	b := startScriptedServer(t, answerStream)
	r := scarceSetup(t, noPeers{}, b.groupHead("h"))
	for _, deadline := range []string{"4000", "2500"} {
		resp, _, err := r.do(r.request(http.MethodPost, "/s/1", "", "X-Deadline", deadline))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	got := b.requests()
	fresh, err := strconv.Atoi(got[0].Header.Get("X-Priority"))
	assert.NilError(t, err)
	back, err := strconv.Atoi(got[1].Header.Get("X-Priority"))
	assert.NilError(t, err)
	assert.Assert(t, fresh < back, "priorities %d and %d", fresh, back)
}

// A request without room is refused at once, and asked to come back at a time that its caller
// honours.
func TestRefusalNamesTimeThatCallersHonour(t *testing.T) {
	b := startScriptedServer(t, answerStream)
	full := &stalePeers{entries: 2, inFlight: func(id ident.InstanceID) int { return map[ident.InstanceID]int{"h": 500}[id] }}
	r := scarceSetup(t, full, b.groupHead("h"))
	resp, _, err := r.do(r.request(http.MethodPost, "/s/1", "", "X-Deadline", "3000"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after >= 0.5 && after <= 1, "%v s", after)
	assert.Equal(t, len(b.requests()), 0)
}

// Counts of requests that wait must not remain after their answers, or the group would look full.
func TestNothingWaitsAfterAnswers(t *testing.T) {
	b := startScriptedServer(t, answerStream)
	r := scarceSetup(t, noPeers{}, b.groupHead("h"))
	for _, deadline := range []string{"4000", "2500", "4000"} {
		_, _, err := r.do(r.request(http.MethodPost, "/s/1", "", "X-Deadline", deadline))
		assert.NilError(t, err)
	}
	for _, backend := range r.handler.backends {
		assert.Equal(t, backend.unanswered.Load(), int32(0))
		assert.Equal(t, backend.unansweredTokens.Load(), int64(0))
		assert.Equal(t, backend.deferred.Load(), int32(0))
	}
}

// Services whose routes are equally urgent are operated without priorities.
func TestEqualRoutesHaveNoPriority(t *testing.T) {
	b := startScriptedServer(t, answerStream)
	r := newTestSetup(t, b.groupHead("h"))
	_, _, err := r.do(r.request(http.MethodPost, "/s/1", "", "X-Priority", "0"))
	assert.NilError(t, err)
	assert.Equal(t, b.requests()[0].Header.Get("X-Priority"), "")
}

// Observations of routes and models that were removed from the configuration must not accumulate.
func TestObservationsOfRemovedRoutesAreDropped(t *testing.T) {
	h := New(Options{Headers: testHeaders(), Peers: noPeers{}, Now: func() time.Duration { return time.Second }})
	for range 100 {
		h.observations.deadlines[strconv.Itoa(len(h.observations.deadlines))] = &scarcity.Deadlines{}
	}
	h.observations.deadlines["stream"] = &scarcity.Deadlines{}
	h.observations.model(modelKey{"gone", "m"})
	h.SetView(NewView(unequalRoutes(), fleet.NewList().Snapshot(), nil))
	assert.Equal(t, len(h.observations.deadlines), 1)
	assert.Equal(t, len(h.observations.models), 0)
}

// A caller that repeats a refused request at once must not gain a better place, at any entry instance.
func TestRepeatedRequestKeepsItsPlace(t *testing.T) {
	lots := make(map[float64]bool)
	for range 2 {
		r := scarceSetup(t, noPeers{}, fleet.Server{ID: "h", Service: "llm", Model: "m"})
		for _, id := range []string{"id-1", "id-2"} {
			q := r.request(http.MethodPost, "/s/1", "", "X-Deadline", "4000", "X-Request", id)
			c, status := r.handler.newCall(nil, q, r.handler.View())
			assert.Equal(t, status, 0)
			lots[c.scarce.request.Lot] = true
		}
	}
	assert.Equal(t, len(lots), 1)
}

// A group that fails all requests has free places, but is not used while others work. Requests
// must not be sent to a full group because of those places.
func TestFailingGroupGivesNoRoom(t *testing.T) {
	full, failing := startScriptedServer(t, answerStream), startScriptedServer(t, answerStream)
	peers := &stalePeers{
		entries: 9, inFlight: func(id ident.InstanceID) int { return map[ident.InstanceID]int{"full": 500}[id] },
		failureReports: map[ident.InstanceID]int{"failing": 8},
	}
	r := scarceSetup(t, peers, full.groupHead("full"), failing.groupHead("failing"))
	for i := range 20 {
		resp, _, err := r.do(r.request(http.MethodPost, "/s/1", strconv.Itoa(i), "X-Deadline", "4000"))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(full.requests())+len(failing.requests()), 0)
}

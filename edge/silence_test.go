package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// groupWhole reports whether all members of a head's group are still in it. Without one a head
// cannot go on.
func (f *fakeServers) groupWhole(head ident.InstanceID, size int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := 0
	for _, s := range f.byID {
		if s.Group == f.byID[head].Group && s.Epoch == f.byID[head].Epoch {
			members++
		}
	}
	return members == size
}

// Guards against a stream that ends without its answer because its backend servers were
// silent for a while: the group was re-formed, which ended the stream as disbanded. Only the
// head's streams are silent, or a member too, or the head in everything.
func TestSilentGroupAnswersItsStreams(t *testing.T) {
	const (
		silence = 1300 * time.Millisecond
		streams = 8
		before  = 3
		events  = 6
		size    = 3
	)
	for i, c := range []struct {
		name string
		// rank is that of the group's server that answers no probes either, or -1.
		rank int
		// resumable streams have no other group than their own once it is re-formed.
		resumable bool
	}{
		{"streams", -1, false},
		{"member", 1, false},
		{"head", 0, false},
		{"member, resumable", 1, true},
		{"head, resumable", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tc := newTestCluster(t, 40+i, 3)
			// started counts the streams that have reached the silence, resume ends it.
			var started sync.WaitGroup
			started.Add(streams)
			resume := make(chan struct{})
			for _, id := range []ident.InstanceID{"e1", "e2", "e3", "e4", "e5"} {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					w.Header().Set("X-Request", req.Header.Get("X-Request"))
					w.Header().Set("X-Proof", "p")
					w.Header().Set("Content-Type", "text/event-stream")
					last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
					for n := last + 1; n <= events; n++ {
						_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
						_ = http.NewResponseController(w).Flush()
						if n == before {
							started.Done()
							<-resume
							if !tc.servers.groupWhole(id, size) {
								panic(http.ErrAbortHandler)
							}
						}
					}
				}))
				t.Cleanup(srv.Close)
				tc.servers.mu.Lock()
				tc.servers.write(fleet.Server{ID: id, Incarnation: "1", Service: "llm", Address: srv.Listener.Addr().String(), DataCentre: "a", Domain: "d", Slots: 8})
				tc.servers.mu.Unlock()
			}
			cfg := config(1, "k1")
			cfg.Routes = append(cfg.Routes, route.Route{
				Name: "c", Host: "a.example", Prefix: "/c/", Kind: route.Streaming, Resumable: c.resumable, UsesGroups: true, AttemptLimit: 2,
				Timeout: 8 * time.Second, LatencyGoal: 200 * time.Millisecond, Targets: []route.Target{{Service: "llm", Weight: 1}},
			})
			cfg.Services[1].Models[0].Size = size
			tc.store.put("op", "config", cfg)
			var members []fleet.Server
			tc.eventually(8*time.Second, "a group serves at each instance", func() bool {
				tc.servers.mu.Lock()
				defer tc.servers.mu.Unlock()
				members = members[:0]
				open := false
				for _, s := range tc.servers.byID {
					if s.Group != "" {
						members = append(members, s)
						open = open || s.State == fleet.Open
					}
				}
				return open && !slices.ContainsFunc(tc.nodes, func(n *testNode) bool {
					v := n.handler.View()
					return v == nil || v.HeadCount("llm", "m") == 0
				})
			})
			var wg sync.WaitGroup
			for s := range streams {
				wg.Go(func() {
					n := tc.nodes[s%len(tc.nodes)]
					req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddress+"/c/", strings.NewReader("x"))
					assert.Check(t, err)
					req.Host = "a.example"
					req.Header.Set("X-Request", fmt.Sprint("id-", s))
					req.Header.Set("X-Model", "m")
					req.Header.Set("Authorization", "Bearer k1")
					req.Header.Set(headerParts, fmt.Sprint("own-", s))
					resp, err := http.DefaultClient.Do(req)
					if !assert.Check(t, err) {
						return
					}
					body, err := io.ReadAll(resp.Body)
					assert.Check(t, err, "stream %d ended after %q", s, body)
					assert.Check(t, resp.Body.Close())
					assert.Check(t, resp.StatusCode == http.StatusOK && strings.Count(string(body), "data:") == events, "stream %d: %d %q", s, resp.StatusCode, body)
				})
			}
			started.Wait()
			silent := func(on bool) {
				tc.servers.mu.Lock()
				defer tc.servers.mu.Unlock()
				for _, s := range members {
					if s.Rank == c.rank {
						tc.servers.silent[s.ID] = on
					}
				}
			}
			silent(true)
			time.Sleep(silence)
			silent(false)
			close(resume)
			wg.Wait()
		})
	}
}

package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

func testConfig() Config {
	return Config{
		Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Targets: []Target{{"plain", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Targets: []Target{{"plain", 1}}},
			{Name: "short", Host: "a.example", Prefix: "/x/", Public: true, Targets: []Target{{"one", 90}, {"two", 10}}},
			{Name: "other", Host: "B.example", Prefix: "/x/", Targets: []Target{{"plain", 1}}},
		},
		Services: []Service{{Name: "plain"}},
		Accounts: []Account{{Name: "mill", Keys: []string{"k1", "k2"}}, {Name: "shop", Keys: []string{"k3"}}},
	}
}

// The longest prefix wins regardless of the order of the routes, and only routes of the
// request's host match.
func TestLongestPrefixWins(t *testing.T) {
	table := Compile(testConfig())
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x", "all"},
		{"a.example:8080", "/x/y/z", "deep"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	}
	for _, c := range cases {
		r, ok := table.Match(c.host, c.path)
		assert.Equal(t, ok, c.want != "", "%s%s", c.host, c.path)
		if ok {
			assert.Equal(t, r.Name, c.want, "%s%s", c.host, c.path)
		}
	}
}

// A missing key must not match an account whose configured key is empty.
func TestAuthenticate(t *testing.T) {
	cfg := testConfig()
	cfg.Accounts = append(cfg.Accounts, Account{Name: "empty", Keys: []string{""}})
	table := Compile(cfg)
	a, ok := table.Authenticate("k2")
	assert.Assert(t, ok)
	assert.Equal(t, a.Name, ident.Account("mill"))
	_, ok = table.Authenticate("k4")
	assert.Assert(t, !ok)
	_, ok = table.Authenticate("")
	assert.Assert(t, !ok)
	public, _ := table.Match("a.example", "/x/1")
	private, _ := table.Match("a.example", "/x/y/1")
	assert.Assert(t, !table.NeedsKey(public))
	assert.Assert(t, table.NeedsKey(private))
}

// Requests are split by the targets' weights, and a request id always selects the same
// target.
func TestSplitFollowsWeights(t *testing.T) {
	table := Compile(testConfig())
	r, _ := table.Match("a.example", "/x/")
	const requests = 10000
	two := 0
	for i := range requests {
		id := fmt.Sprintf("request-%d", i)
		target := r.Target(id)
		assert.Equal(t, target, r.Target(id))
		if target == "two" {
			two++
		}
	}
	assert.Assert(t, two > requests*8/100 && two < requests*12/100, "%d of %d", two, requests)
}

// Only idempotent requests and resumable streams may be executed twice.
func TestRepeatable(t *testing.T) {
	cases := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Idempotent}, true},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
	}
	for _, c := range cases {
		assert.Equal(t, c.route.Repeatable(), c.want, "%v", c.route.Kind)
	}
}

func BenchmarkRouting(b *testing.B) {
	table := Compile(testConfig())
	for b.Loop() {
		r, _ := table.Match("a.example", "/x/y/z")
		table.Authenticate("k3")
		r.Target("9c41d07be2a35f68")
	}
}

package service

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/strictyaml"
)

// check reports every rule that the document violates.
func (d *Document) check(r *strictyaml.Report) {
	r.Validate(d)
	switch d.Kind {
	case KindModel:
		d.checkModel(r)
	case KindPlain:
		d.checkPlain(r)
	}
	if d.Backend.ColdRequests > d.Backend.Requests {
		r.Add("backend.cold_requests",
			fmt.Sprintf("%d cold requests exceed %d requests", d.Backend.ColdRequests, d.Backend.Requests),
			"use at most backend.requests")
	}
	d.checkMethods(r)
	d.checkAccounts(r)
}

func (d *Document) checkModel(r *strictyaml.Report) {
	const remedy = "set the field, because kind is model"
	if d.Model.Name == "" {
		r.Add("model.name", "a value is required", remedy)
	}
	if d.Model.Version == "" {
		r.Add("model.version", "a value is required", remedy)
	}
	if d.Replicas.Minimum > d.Replicas.Wanted {
		r.Add("replicas.minimum",
			fmt.Sprintf("the minimum %d exceeds the wanted %d replicas", d.Replicas.Minimum, d.Replicas.Wanted),
			"use at most replicas.wanted")
	}
	if len(d.Methods) > 0 {
		r.Add("methods", "a model service has no methods", "remove methods: requests to models are idempotent")
	}
	d.checkRoles(r)
}

// checkRoles checks that the groups of a service can process a request: prefill
// groups need decode groups and vice versa.
func (d *Document) checkRoles(r *strictyaml.Report) {
	hasRole := func(role engine.Role) bool { return slices.Contains(d.Model.Roles, role) }
	if hasRole(engine.RolePrefill) != hasRole(engine.RoleDecode) {
		r.Add("model.roles", "prefill and decode need each other", "list both, or neither")
	}
}

func (d *Document) checkPlain(r *strictyaml.Report) {
	if d.Model.Name != "" || d.Model.Version != "" || len(d.Model.Adapters) > 0 || len(d.Model.Roles) > 0 {
		r.Add("model", "a plain service loads no model", "remove model, or set kind to model")
	}
	if d.Replicas.Wanted > 0 || d.Replicas.Minimum > 0 || d.Replicas.SparesPerDomain > 0 || d.Replicas.StandbyGroups > 0 {
		r.Add("replicas", "a plain service has no replicas", "remove replicas: its backend servers come from the instance list")
	}
}

// checkMethods rejects an entry that can never apply because an earlier one
// matches the same calls. Without the error its author would not notice.
func (d *Document) checkMethods(r *strictyaml.Report) {
	for i, m := range d.Methods {
		for j, earlier := range d.Methods[:i] {
			if earlier.Method != "" && earlier.Method != m.Method {
				continue
			}
			if strings.HasPrefix(m.PathPrefix, earlier.PathPrefix) {
				r.Add(fmt.Sprintf("methods[%d]", i),
					fmt.Sprintf("the entry never applies, because methods[%d] matches first", j),
					"move the more specific entry before the other")
				break
			}
		}
	}
}

// checkAccounts rejects duplicate names and keys. The account of a request is
// looked up by its key, so two accounts cannot share one.
func (d *Document) checkAccounts(r *strictyaml.Report) {
	names := make(map[ident.Account]bool, len(d.Accounts))
	keys := make(map[string]bool, len(d.Accounts))
	for i, a := range d.Accounts {
		if names[a.Name] {
			r.Add(accountField(i, "name"), fmt.Sprintf("account %q is listed twice", a.Name), "remove one of the two")
		}
		if keys[a.KeySHA256] {
			r.Add(accountField(i, "key_sha256"), "the key belongs to two accounts", "give each account its own key")
		}
		names[a.Name], keys[a.KeySHA256] = true, true
	}
}

func accountField(i int, name string) string {
	return fmt.Sprintf("accounts[%d].%s", i, name)
}

// Package machines connects the decision machines to package trace. It has one
// thin adapter per machine, which converts the events of a trace into events of
// the machine and the machine's actions into decisions. Small models, driven by the
// trace, take the place of the store, the backend servers and the other entry
// instances. In addition to the machine's decisions, an adapter reports a decision
// with the action "violation" when the decisions break an invariant.
package machines

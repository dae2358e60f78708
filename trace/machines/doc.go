// Package machines connects the decision machines to package trace: one thin
// adapter per machine, which turns the events of a trace into the machine's
// events and its actions into decisions. What a machine asks of the store, of
// backend servers or of other entry instances is answered by small models that
// follow the trace. Beside what a machine decides, an adapter reports as a
// decision named "violation" when the decisions together break a promise.
package machines

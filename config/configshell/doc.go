// Package configshell runs the actions of a config.Machine on the platform's
// table and on the peers, and returns their results to it as events.
package configshell

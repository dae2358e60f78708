package engine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
)

const (
	// maxIdlePerLeader bounds idle connections kept to one group leader.
	maxIdlePerLeader = 64
	// poolIdleTimeout is the idle time after which a connection is closed.
	poolIdleTimeout = time.Minute
)

// poolKey binds connections to one incarnation of a leader, so that a restarted
// engine gets no requests under credits that were granted for its previous run.
type poolKey struct {
	address     string
	incarnation ident.Incarnation
}

// connPool holds idle connections.
type connPool = httpconn.Pool[poolKey, *dataConn]

package settings

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Config holds the settings of one daemon. The incarnation is not a setting: the
// daemon generates one at each start.
type Config struct {
	Instance   ident.InstanceID `yaml:"instance" validate:"required,name"`
	Region     ident.Region     `yaml:"region" validate:"required,name"`
	DataCentre ident.DataCentre `yaml:"data_centre" validate:"required,name"`
	Listen     Listen           `yaml:"listen"`
	Advertise  Advertise        `yaml:"advertise"`
	// DialFrom is the local IP address of all outgoing connections. If it is
	// empty, the system selects one. Datagrams are sent from Listen.Peers.
	DialFrom  string   `yaml:"dial_from,omitempty" validate:"omitempty,specific_ip"`
	Platform  Platform `yaml:"platform"`
	Peers     Peers    `yaml:"peers"`
	Operators []Team   `yaml:"operators" validate:"dive"`
	Limits    Limits   `yaml:"limits"`
	// LookupTTL is how long callers may cache a lookup answer.
	LookupTTL time.Duration `yaml:"lookup_ttl" validate:"min=100ms,max=1m"`
	LogLevel  string        `yaml:"log_level" validate:"oneof=debug info warn error"`
	TLS       TLS           `yaml:"tls"`
	Trace     Trace         `yaml:"trace"`
}

// Listen holds the addresses (ip:port) that the daemon listens on.
type Listen struct {
	Callers   string `yaml:"callers" validate:"required,ip_port"`
	Peers     string `yaml:"peers" validate:"required,ip_port"`
	Operators string `yaml:"operators" validate:"required,ip_port"`
}

// Advertise holds the addresses that others connect to. An empty one defaults to
// the listen address.
type Advertise struct {
	Callers   string `yaml:"callers,omitempty" validate:"omitempty,specific_ip_port"`
	Peers     string `yaml:"peers,omitempty" validate:"omitempty,specific_ip_port"`
	Operators string `yaml:"operators,omitempty" validate:"omitempty,specific_ip_port"`
}

// Platform holds the address of the platform's services.
type Platform struct {
	URL string `yaml:"url" validate:"required,http_url"`
}

// Peers holds the settings for discovery and authentication among entry
// instances.
type Peers struct {
	// Secret authenticates peers. Load sets it from SecretFile if that is set.
	Secret     string `yaml:"secret,omitempty" validate:"omitempty,min=16,excluded_with=SecretFile"`
	SecretFile string `yaml:"secret_file,omitempty" validate:"required_without=Secret"`
	// Seeds are the peer addresses to contact first. More come from the
	// platform's instance list.
	Seeds []string `yaml:"seeds,omitempty" validate:"unique,dive,specific_ip_port"`
}

// Team is a team of operators with the hashes of its bearer tokens. A second
// hash allows rotating the token without an interruption.
type Team struct {
	Team        ident.Team `yaml:"team" validate:"required,name"`
	TokenSHA256 []string   `yaml:"token_sha256" validate:"min=1,dive,sha256"`
}

// Limits bounds the sizes of requests and the memory of one process.
type Limits struct {
	MaxBodyBytes   int64 `yaml:"max_body_bytes" validate:"min=1024,max=1073741824"`
	MaxHeaderBytes int   `yaml:"max_header_bytes" validate:"min=1024,max=1048576"`
	// StreamMemoryBytes bounds the memory of all streams of the process.
	StreamMemoryBytes int64 `yaml:"stream_memory_bytes" validate:"min=1048576"`
	// AccountStreamBytes bounds the memory of the streams of one account.
	AccountStreamBytes int64 `yaml:"account_stream_bytes" validate:"min=16384"`
}

// TLS holds the optional key files. A nil field means plain TCP.
type TLS struct {
	Peers   *TLSFiles `yaml:"peers,omitempty"`
	Callers *TLSFiles `yaml:"callers,omitempty"`
}

// TLSFiles names PEM files. They are reloaded when they change.
type TLSFiles struct {
	CertFile string `yaml:"cert_file" validate:"required"`
	KeyFile  string `yaml:"key_file" validate:"required"`
	// CAFile names the file with the CA certificates that must have signed a
	// peer's certificate. It is required for peers and unused for callers.
	CAFile string `yaml:"ca_file,omitempty"`
}

// Trace holds the settings of the trace recorder.
type Trace struct {
	// Enabled starts a recording when the process starts. Operators can start
	// and stop recordings at any time.
	Enabled bool `yaml:"enabled"`
	// MaxBytes bounds the memory of the recorder; the oldest records are
	// dropped first.
	MaxBytes int `yaml:"max_bytes" validate:"min=65536,max=268435456"`
}

// DefaultConfig returns the default values of fields that a file does not set.
func DefaultConfig() Config {
	return Config{
		Listen: Listen{
			Callers:   "127.0.0.1:7080",
			Peers:     "127.0.0.1:7081",
			Operators: "127.0.0.1:7082",
		},
		Limits: Limits{
			MaxBodyBytes:   4 << 20,
			MaxHeaderBytes: 32 << 10,
			// The memory budget of a node is 256 MB; the other half is for
			// everything else.
			StreamMemoryBytes:  128 << 20,
			AccountStreamBytes: 32 << 20,
		},
		LookupTTL: 2 * time.Second,
		LogLevel:  "info",
		Trace:     Trace{MaxBytes: 16 << 20},
	}
}

package strictyaml

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// namePattern matches valid names. It is restrictive because names appear in
// URL paths, row keys and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// validate checks struct tags. It is shared because it caches struct types.
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(FieldName)
	checks := map[string]validator.Func{
		"name": func(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) },
		"ip_port": func(f validator.FieldLevel) bool {
			_, err := netip.ParseAddrPort(f.Field().String())
			return err == nil
		},
		"specific_ip": func(f validator.FieldLevel) bool {
			a, err := netip.ParseAddr(f.Field().String())
			return err == nil && !a.IsUnspecified()
		},
		"specific_ip_port": func(f validator.FieldLevel) bool {
			a, err := netip.ParseAddrPort(f.Field().String())
			return err == nil && !a.Addr().IsUnspecified() && a.Port() != 0
		},
	}
	for tag, fn := range checks {
		if err := v.RegisterValidation(tag, fn); err != nil {
			panic(err) // Happens only for a malformed tag name, which any test run detects.
		}
	}
	return v
}

// Validate checks the validate tags of a struct and adds a problem for each
// failure.
func (r *Report) Validate(s any) {
	var failed validator.ValidationErrors
	if err := validate.Struct(s); !errors.As(err, &failed) {
		if err != nil {
			r.Add("", err.Error(), "report this as a fault of the program")
		}
		return
	}
	for _, f := range failed {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		message, remedy := describeFailure(f)
		r.Add(field, message, remedy)
	}
}

// describeFailure returns the message and the remedy for a failed tag.
func describeFailure(f validator.FieldError) (message, remedy string) {
	value := fmt.Sprintf("%v", f.Value())
	switch f.Tag() {
	case "required", "required_without":
		return "a value is required", "set the field"
	case "oneof":
		return fmt.Sprintf("%q is not allowed", value), "use one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "min", "gte":
		return describeLimit(f, value, "below", "at least")
	case "gt":
		return fmt.Sprintf("%s is below the limit", value), "use more than " + f.Param()
	case "max", "lte":
		return describeLimit(f, value, "above", "at most")
	case "sha256":
		return fmt.Sprintf("%q is not a SHA-256", value), "write 64 lower-case hexadecimal digits, as `printf %s KEY | sha256sum` prints"
	case "name":
		return fmt.Sprintf("%q is not a valid name", value), "use 1 to 64 lower-case letters, digits, '.', '_' or '-', with a letter or digit at both ends"
	case "ip_port":
		return fmt.Sprintf("%q is not an IP address and port", value), "write an IP address such as 127.0.0.1:7000; host names are not accepted"
	case "specific_ip_port":
		return fmt.Sprintf("%q is not an address that others can connect to", value), "write a specific IP address and a port, such as 192.0.2.7:7000; host names, 0.0.0.0 and port 0 are not accepted"
	case "specific_ip":
		return fmt.Sprintf("%q is not an IP address of a host", value), "write an IP address of this host without a port, such as 192.0.2.7; host names and 0.0.0.0 are not accepted"
	case "http_url":
		return fmt.Sprintf("%q is not a URL", value), "write a URL such as http://192.0.2.1:7000"
	case "startswith":
		return fmt.Sprintf("%q does not start with %s", value, f.Param()), "start it with " + f.Param()
	case "excluded_with":
		return "the field excludes " + f.Param(), "keep one of the two"
	case "unique":
		return "the list names an element twice", "remove the duplicate"
	default:
		return fmt.Sprintf("%q fails the check %s", value, f.Tag()), "correct the value"
	}
}

// describeLimit returns the message and the remedy for a violated limit. For
// lists and strings the limit applies to the length.
func describeLimit(f validator.FieldError, value, side, limit string) (message, remedy string) {
	switch f.Kind() {
	case reflect.Slice:
		return "the list has the wrong length", fmt.Sprintf("give %s %s elements", limit, f.Param())
	case reflect.String:
		return "the text has the wrong length", fmt.Sprintf("use %s %s characters", limit, f.Param())
	default:
		return fmt.Sprintf("%s is %s the limit", value, side), fmt.Sprintf("use %s %s", limit, f.Param())
	}
}

// Package settings reads and validates a process's JSON settings. Code that
// uses a value returned by Load need not check it again.
package settings

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"github.com/poppywall/poppywall/route"
)

// ExitBadSettings is the exit code for settings that do not validate.
const ExitBadSettings = 2

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`a duration is a string such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Secret is a numbered cluster secret. Its hexadecimal bytes are in Hex, or in
// the environment variable or file named by Env or File; File takes precedence
// over Env, and Env over Hex.
type Secret struct {
	Number int    `json:"number" validate:"gte=0,lte=255"`
	Hex    string `json:"hex,omitempty" validate:"required_without_all=Env File,omitempty,hexadecimal,min=32"`
	Env    string `json:"env,omitempty"`
	File   string `json:"file,omitempty"`
}

// Log sets the level and the format of the log.
type Log struct {
	Level  string `json:"level" validate:"omitempty,oneof=debug info warn error"`
	Format string `json:"format" validate:"omitempty,oneof=json console"`
}

// Load reads, decodes and validates a file. Fields that the file omits keep
// their value from defaults.
func Load[T any](path string, defaults T) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return defaults, errors.Wrap(err, "read settings")
	}
	return Parse(data, defaults)
}

// Parse decodes and validates settings. The error names the invalid field.
func Parse[T any](data []byte, defaults T) (T, error) {
	out := defaults
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&out); err != nil {
		return defaults, decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return defaults, errors.New("settings: data after the closing brace")
	}
	if err := Validate(out); err != nil {
		return defaults, err
	}
	return out, nil
}

// Changed returns the JSON names of the top-level fields in which two settings
// of one type differ.
func Changed(before, after any) []string {
	var out []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			out = append(out, jsonName(a.Type().Field(i)))
		}
	}
	return out
}

// Validate checks v against its validate tags. The error names the first
// invalid field.
func Validate(v any) error {
	err := newValidator().Struct(v)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) && len(fields) > 0 {
		return fieldError(fields[0])
	}
	return err
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	// The tag is a constant, so registration cannot fail.
	_ = v.RegisterValidation("addrport4", isAddrPort4)
	return v
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// isAddrPort4 accepts "IPv4:port", the only form that a route can encode.
func isAddrPort4(fl validator.FieldLevel) bool {
	ap, err := netip.ParseAddrPort(fl.Field().String())
	return err == nil && ap.Addr().Is4()
}

func fieldError(f validator.FieldError) error {
	_, name, _ := strings.Cut(f.Namespace(), ".")
	want := f.Tag()
	if f.Param() != "" {
		want += "=" + f.Param()
	}
	return errors.Errorf("field %q: value %v does not satisfy %q", name, f.Value(), want)
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return errors.Errorf("field %q: want %s, got %s", typeErr.Field, typeErr.Type, typeErr.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return errors.Errorf("field %s: unknown field", name)
	}
	return errors.Wrap(err, "settings")
}

// Secrets reads the bytes of the listed secrets. The first secret is the
// current one.
func Secrets(list []Secret) ([]route.Secret, error) {
	out := make([]route.Secret, 0, len(list))
	for _, s := range list {
		b, err := s.bytes()
		if err != nil {
			return nil, errors.Wrapf(err, "field \"secrets\": number %d", s.Number)
		}
		out = append(out, route.Secret{Number: byte(s.Number), Bytes: b})
	}
	return out, nil
}

// bytes reads and decodes the secret.
func (s Secret) bytes() ([]byte, error) {
	text := s.Hex
	if s.Env != "" {
		text = os.Getenv(s.Env)
	}
	if s.File != "" {
		data, err := os.ReadFile(s.File)
		if err != nil {
			return nil, err
		}
		text = string(data)
	}
	b, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil {
		return nil, errors.New("secret is not hexadecimal")
	}
	if len(b) < route.MinSecretLen {
		return nil, errors.Errorf("secret is shorter than %d bytes", route.MinSecretLen)
	}
	return b, nil
}

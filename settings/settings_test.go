package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Name    string   `json:"name" validate:"required,hostname_rfc1123"`
	Address string   `json:"address" validate:"required,addrport4"`
	Every   Duration `json:"every" validate:"gte=1000000"`
	Inner   struct {
		Count int `json:"count" validate:"gte=1"`
	} `json:"inner"`
	Secrets []Secret `json:"secrets" validate:"dive"`
}

func TestParseNamesTheField(t *testing.T) {
	good := `{"name":"a","address":"127.0.0.1:1","every":"1s","inner":{"count":1}}`
	_, err := Parse([]byte(good), sample{})
	require.NoError(t, err)
	for _, c := range []struct{ field, doc string }{
		{"nmae", `{"nmae":"a"}`},
		{"name", `{"name":"","address":"127.0.0.1:1","every":"1s","inner":{"count":1}}`},
		{"name", `{"name":3}`},
		{"address", `{"name":"a","address":"[::1]:1","every":"1s","inner":{"count":1}}`},
		{"every", `{"name":"a","address":"127.0.0.1:1","every":"1ns","inner":{"count":1}}`},
		{"inner.count", `{"name":"a","address":"127.0.0.1:1","every":"1s","inner":{"count":0}}`},
		{"duration", `{"every":3}`},
		{"duration", `{"every":"soon"}`},
		{"secrets[0].hex", `{"name":"a","address":"127.0.0.1:1","every":"1s","inner":{"count":1},"secrets":[{"number":1}]}`},
		{"closing brace", good + `{}`},
		{"settings", `{`},
	} {
		_, err := Parse([]byte(c.doc), sample{})
		require.ErrorContains(t, err, c.field, c.doc)
	}
}

func TestSecrets(t *testing.T) {
	t.Setenv("POPPYWALL_TEST_SECRET", "000102030405060708090a0b0c0d0e0f")
	got, err := Secrets([]Secret{{Number: 4, Env: "POPPYWALL_TEST_SECRET"}})
	require.NoError(t, err)
	require.EqualValues(t, 4, got[0].Number)
	require.Len(t, got[0].Bytes, 16)
	for _, bad := range []Secret{{Hex: "zz"}, {Hex: "00"}, {File: "absent"}, {Env: "POPPYWALL_ABSENT"}} {
		_, err := Secrets([]Secret{bad})
		require.Error(t, err)
		require.NotContains(t, err.Error(), "zz", "secrets do not appear in errors")
	}
}

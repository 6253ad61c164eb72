package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// TestEvacuationsRoundTrip checks the encoding up to the maximum number of zones with the
// longest names, and that a beacon with them fits into a datagram.
func TestEvacuationsRoundTrip(t *testing.T) {
	const datagram = 1400
	for count := range flow.MaxEvacuated + 1 {
		var zones []string
		for i := range count {
			zones = append(zones, fmt.Sprintf("%02d", i)+strings.Repeat("z", flow.MaxZoneName-2))
		}
		e, out := flow.NewEvacuations(int64(count)<<40, zones)
		require.Empty(t, out)
		wire := AppendEvacuations(nil, e)
		got, err := DecodeEvacuations(wire)
		require.NoError(t, err)
		require.Equal(t, e, got)
		m := Beacon{Evacuations: e}
		require.Less(t, len(m.Append(nil)), datagram)
	}
}

func TestMalformedEvacuationsAreRejected(t *testing.T) {
	e, _ := flow.NewEvacuations(9, []string{"a", "b"})
	good := AppendEvacuations(nil, e)
	changed := func(at int, b byte) []byte {
		out := append([]byte(nil), good...)
		out[envelope.PrefixLen+at] = b
		return out
	}
	for name, wire := range map[string][]byte{
		"empty":             good[:envelope.PrefixLen],
		"truncated":         good[:len(good)-1],
		"too long":          append(append([]byte(nil), good...), 0),
		"count too high":    changed(evacuationsHeaderLen-1, 3),
		"count too low":     changed(evacuationsHeaderLen-1, 1),
		"duplicate zone":    changed(evacuationsHeaderLen+3, 'a'),
		"empty zone name":   changed(evacuationsHeaderLen, 0),
		"negative revision": changed(0, 0xff),
	} {
		_, err := DecodeEvacuations(wire)
		require.ErrorIs(t, err, ErrMalformed, name)
	}
	_, err := DecodeEvacuations((&Beacon{}).Append(nil))
	require.ErrorIs(t, err, ErrMalformed, "other kind of message")
}

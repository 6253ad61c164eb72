package verdict

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// An error without a verdict and an unrecognised wire form must not be taken for
// NotRun or Ran.
func TestUnrecognisedVerdictsAreUnknown(t *testing.T) {
	require.Equal(t, Unknown, FromError(nil))
	require.Equal(t, Unknown, FromError(errors.New("plain")))
	require.Equal(t, NotRun, FromError(errors.Wrap(&Error{Verdict: NotRun}, "wrapped")))
	for _, v := range []Verdict{Unknown, NotRun, Ran} {
		require.Equal(t, v, Parse(v.String()))
	}
	require.Equal(t, Unknown, Parse("NOT-RUN?"))
}

// Retry-After is rounded up to whole seconds, so that a caller does not retry too
// early.
func TestErrorResponseCarriesVerdictAndRetryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	(&Error{Verdict: NotRun, Status: 503, Reason: "overloaded", RetryAfter: 1200 * time.Millisecond}).WriteResponse(w)
	require.Equal(t, 503, w.Code)
	require.Equal(t, "2", w.Header().Get(HeaderRetryAfter))
	require.Equal(t, "not-run", w.Header().Get(HeaderVerdict))
}

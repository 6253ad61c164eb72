package model

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/settings"
)

func TestSettingsErrorsNameTheField(t *testing.T) {
	for text, field := range map[string]string{
		`{"patterns":["return","flood"]}`: `"patterns"`,
		`{"seeds":0}`:                     `"seeds"`,
		`{"drawn":-1}`:                    `"drawn"`,
		`{"deployment":{"name":"d","zones":1,"balancers":1,"services":[{"name":"a","targets":1,"slots":1,"coldFactor":1}],
			"classes":[{"name":"c","service":"b","rate":1,"work":"1ms","objective":"1s","deadline":"2s"}]}}`: "deployment.classes[0].service",
	} {
		s, err := settings.Parse([]byte(text), DefaultSettings())
		if err == nil {
			err = s.Check()
		}
		require.ErrorContains(t, err, field, text)
	}
	s := DefaultSettings()
	require.NoError(t, s.Check())
}

func TestRandomDeploymentsStayWithinBounds(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		d := RandomDeployment(rnd)
		require.NoError(t, settings.Validate(d))
		s, c := d.Services[0], d.Classes[0]
		require.LessOrEqual(t, s.Targets, maxTargets)
		require.LessOrEqual(t, s.Slots, maxSlots)
		require.LessOrEqual(t, c.Objective.D(), c.Deadline.D()/2)
		require.LessOrEqual(t, c.Rate, float64(maxRate)*1.5)
	}
}

// TestExperimentSumsAllSeeds checks that each pattern and deployment has one row with the sum of its
// runs, whatever the order in which these end.
func TestExperimentSumsAllSeeds(t *testing.T) {
	s := DefaultSettings()
	s.Patterns, s.Seeds, s.Workers = []string{"quiet", "return"}, 2, 2
	s.At, s.Length = settings.Duration(time.Second), settings.Duration(3*time.Second)
	runs := 0
	rows := Run(s, func(done, of int) {
		runs++
		require.Equal(t, 4, of)
		require.Equal(t, runs, done)
	})
	require.Len(t, rows, 2)
	var sum Result
	for seed := range uint64(2) {
		sum.Add(Simulate(Options{Deployment: s.Deployment, Pattern: "return", At: s.At.D(), Length: s.Length.D(), Seed: seed}))
	}
	require.Equal(t, sum, rows[1].Result)

	var brief, whole, page bytes.Buffer
	require.NoError(t, Print(&brief, rows, true))
	require.NoError(t, Print(&whole, rows, false))
	require.Equal(t, 3, bytes.Count(brief.Bytes(), []byte("\n")))
	require.Equal(t, 9, bytes.Count(whole.Bytes(), []byte("\n")))
	require.NoError(t, Plot(&page, rows))
	require.Contains(t, page.String(), "refused")
}

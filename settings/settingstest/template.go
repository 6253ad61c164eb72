// Package settingstest renders the settings templates in deploy/ for tests.
package settingstest

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// nodeValues are the values that the platform fills into the templates of one node.
var nodeValues = map[string]any{
	"node-name": "node-1", "zone": "z1", "ip": "10.0.0.1", "internal-ports.0": 7720, "service": "alpha",
	"listen.data-addr": "10.0.0.1:8172", "listen.ready": "10.0.0.1:8167", "listen.outbound": "10.0.0.1:8162",
	"listen.control": "10.0.0.1:8166", "app": "10.0.0.1:8165", "seeds": []string{"10.0.0.1:8166", "10.0.0.2:8166"},
	"platform.address": "10.200.1.7:8169", "heartbeat-ms": 1200, "bounds.flow-ttl-s": 60, "bounds.addr-reuse-s": 3,
	"bounds.stable-ms": 4000,
}

// optionalValues name the values that a deployment may omit.
var optionalValues = []string{"seeds", "heartbeat-ms", "bounds.addr-reuse-s", "bounds.flow-ttl-s", "bounds.stable-ms"}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.-]+)\}\}(.*?)\{\{/[\w.-]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.-]+)(\|json)?\}\}`)
)

// Render renders the template at path with all values of a node.
func Render(t testing.TB, path string) []byte {
	t.Helper()
	template, err := os.ReadFile(path)
	require.NoError(t, err)
	text, err := renderTemplate(string(template), nodeValues)
	require.NoError(t, err)
	return []byte(text)
}

// RenderRequired renders the template at path without the optional values.
func RenderRequired(t testing.TB, path string) []byte {
	t.Helper()
	template, err := os.ReadFile(path)
	require.NoError(t, err)
	required := maps.Clone(nodeValues)
	for _, name := range optionalValues {
		delete(required, name)
	}
	text, err := renderTemplate(string(template), required)
	require.NoError(t, err)
	return []byte(text)
}

// renderTemplate renders a template as the platform does. It supports what the
// templates in deploy/ use: values, values as JSON, sections that repeat for each
// string of a list, and sections that are omitted when the value is missing.
func renderTemplate(template string, values map[string]any) (string, error) {
	out := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		value, present := values[m[1]]
		list, isList := value.([]string)
		if present && !isList {
			return m[2]
		}
		parts := make([]string, 0, len(list))
		for _, item := range list {
			part := strings.ReplaceAll(m[2], "{{.|json}}", fmt.Sprintf("%q", item))
			parts = append(parts, strings.ReplaceAll(part, "{{,}}", ""))
		}
		return strings.Join(parts, ",")
	})
	var missing error
	out = valuePattern.ReplaceAllStringFunc(out, func(placeholder string) string {
		m := valuePattern.FindStringSubmatch(placeholder)
		v, ok := values[m[1]]
		if !ok {
			missing = errors.Errorf("template: no value for %q", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		data, err := json.Marshal(v)
		if err != nil {
			missing = err
		}
		return string(data)
	})
	return out, missing
}

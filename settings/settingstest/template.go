// Package settingstest renders the templates in deploy/ for their tests.
package settingstest

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.-]+)\}\}(.*?)\{\{/[\w.-]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.-]+)(\|json)?\}\}`)
)

// RenderTemplate fills a template in deploy/ as the platform does, as far as the
// templates there use it: values, values as JSON, and sections over lists of
// text.
func RenderTemplate(template string, values map[string]any) (string, error) {
	out := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		list, _ := values[m[1]].([]string)
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

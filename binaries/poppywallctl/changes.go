package main

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/change"
	"github.com/poppywall/poppywall/settings"
)

// readDocument reads and validates a change document.
func readDocument(path string) (change.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return change.Document{}, err
	}
	doc, err := settings.Parse(data, change.Document{})
	if err != nil {
		return doc, err
	}
	return doc, doc.Validate()
}

func (t *tool) apply(ctx context.Context, path string) int {
	doc, err := readDocument(path)
	if err != nil {
		process.Fail(process.ExitUsage, err)
	}
	return t.finish(ctx, t.applier.Apply(ctx, doc))
}

// finish prints the result of a change, waits until it is in force if the flags ask for
// that, and returns the exit code.
func (t *tool) finish(ctx context.Context, res change.Result) int {
	printJSON(res)
	switch res.Outcome {
	case change.Rejected:
		return exitRejected
	case change.Unknown:
		return exitUnknown
	}
	if t.wait == 0 {
		return process.ExitOK
	}
	return t.waitInForce(ctx, res.Revision)
}

// diff prints how each item of a change document differs from the stored configuration.
func (t *tool) diff(ctx context.Context, path string) int {
	doc, err := readDocument(path)
	if err != nil {
		process.Fail(process.ExitUsage, err)
	}
	state, err := change.Current(ctx, t.store)
	if err != nil {
		process.Fail(process.ExitFailure, err)
	}
	for i := range doc.Items {
		fmt.Println(diffItem(state, &doc.Items[i]))
	}
	return process.ExitOK
}

// diffItem returns the line of an item: "+" adds, "-" removes, "~" changes, "=" leaves
// the record as it is.
func diffItem(state *catalog.State, it *change.Item) string {
	key, err := it.Key()
	if err != nil {
		return err.Error()
	}
	old, found := state.Get(key)
	switch {
	case it.Delete && !found:
		return "= " + key + " (absent)"
	case it.Delete:
		return "- " + key
	case !found:
		return "+ " + key
	case unchanged(&old, it):
		return "= " + key
	default:
		return "~ " + key
	}
}

// unchanged reports whether a record has the contents of an item. The ID of a service is
// not compared: it is assigned when the change is applied.
func unchanged(old *catalog.Record, it *change.Item) bool {
	if it.Service != nil && old.Service != nil {
		want := *it.Service
		want.ID = old.Service.ID
		return reflect.DeepEqual(*old.Service, want)
	}
	return it.Target != nil && old.Target != nil && reflect.DeepEqual(*old.Target, *it.Target)
}

// storedDocument is the output of get: the stored configuration as a document that apply
// accepts.
type storedDocument struct {
	Items []change.Item `json:"items"`
}

func (t *tool) get(ctx context.Context) int {
	state, err := change.Current(ctx, t.store)
	if err != nil {
		process.Fail(process.ExitFailure, err)
	}
	out := storedDocument{Items: []change.Item{}}
	for _, r := range state.Records(catalog.KeepAll) {
		rev := r.Revision
		out.Items = append(out.Items, change.Item{Service: r.Service, Target: r.Target, Revision: &rev})
	}
	printJSON(out)
	return process.ExitOK
}

func (t *tool) label(ctx context.Context, hostOrTarget string, changes []string) int {
	if len(changes) == 0 {
		process.Fail(process.ExitUsage, fmt.Errorf("--set is required: key=value or key-"))
	}
	for _, c := range changes {
		if !strings.HasSuffix(c, "-") && !strings.Contains(c, "=") {
			process.Fail(process.ExitUsage, fmt.Errorf("--set %q: want key=value or key-", c))
		}
	}
	return t.edit(ctx, hostOrTarget, func(target *catalog.Target) { setLabels(target, changes) })
}

// setLabels applies changes of the forms key=value and key- to a copy of the labels.
func setLabels(target *catalog.Target, changes []string) {
	labels := catalog.Labels{}
	for k, v := range target.Labels {
		labels[k] = v
	}
	for _, c := range changes {
		if key, value, ok := strings.Cut(c, "="); ok {
			labels[key] = value
			continue
		}
		delete(labels, strings.TrimSuffix(c, "-"))
	}
	target.Labels = labels
}

func (t *tool) drain(ctx context.Context, hostOrTarget string, drain bool) int {
	return t.edit(ctx, hostOrTarget, func(target *catalog.Target) { target.Drain = drain })
}

func (t *tool) edit(ctx context.Context, hostOrTarget string, edit func(*catalog.Target)) int {
	host, name, _ := strings.Cut(hostOrTarget, "/")
	build := change.EditTarget(t.store, host, name, edit)
	return t.finish(ctx, t.applier.Edit(ctx, build))
}

func (t *tool) history(ctx context.Context) int {
	entries, err := change.History(ctx, t.store)
	if err != nil {
		process.Fail(process.ExitFailure, err)
	}
	for _, e := range entries {
		state := "accepted"
		if e.Fenced {
			state = "stopped"
		}
		fmt.Printf("%d\t%s\t%s\t%s\t%s\t%s\n", e.Revision, e.At.Format("2006-01-02T15:04:05Z07:00"), e.Author, state, e.ID, strings.Join(e.Keys, ","))
	}
	return process.ExitOK
}

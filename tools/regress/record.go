package main

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// book is the record: the figure to hold for each panel and site, simulated all of them.
type book struct {
	Held map[string]*held `toml:"held"`
}

// held is one figure with its history.
type held struct {
	Figure  float64   `toml:"figure"`
	Since   string    `toml:"since"` // day of the run that reached it
	Lowered []lowered `toml:"lowered,omitempty"`
}

// lowered says why a figure was moved down.
type lowered struct {
	From   float64 `toml:"from"`
	To     float64 `toml:"to"`
	On     string  `toml:"on"`
	Reason string  `toml:"reason"`
}

// load reads the record. One that is not there is empty: the first run makes it.
func load(path string) (*book, error) {
	b := &book{Held: map[string]*held{}}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return b, nil
	}
	if err != nil {
		return nil, err
	}
	var wrong *toml.DecodeError
	var strict *toml.StrictMissingError
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(b)
	switch {
	case errors.As(err, &strict):
		return nil, fmt.Errorf("%s: a key that is unknown\n%s", path, strict.String())
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		return nil, fmt.Errorf("%s:%d: %w", path, line, err)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for key, h := range b.Held {
		if h == nil || !(h.Figure >= -1 && h.Figure <= 1) {
			return nil, fmt.Errorf("%s: held.%s: no figure from -1 to 1", path, key)
		}
	}
	return b, nil
}

// save writes it whole or not at all.
func (b *book) save(path string) error {
	var text bytes.Buffer
	text.WriteString("# Figures of the operators' benches that no later version may fall under by more than 0.03. All are simulated. Written by tools/regress.\n\n")
	if err := toml.NewEncoder(&text).SetIndentTables(false).Encode(b); err != nil {
		return err
	}
	beside := path + ".new"
	if err := os.WriteFile(beside, text.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(beside, path)
}

// row is one figure held against the record.
type row struct {
	key   string
	r     reading
	known bool
	held  float64
	shown bool // its figure is neither held nor recorded
}

// hold compares what was read with what is held under the key.
func (b *book) hold(key string, r reading) row {
	h := b.Held[key]
	if h == nil {
		return row{key: key, r: r}
	}
	return row{key: key, r: r, known: true, held: h.Figure}
}

func (r row) fell() bool { return r.known && r.r.Figure < r.held-fall-1e-9 }

// wrong tells whether the run fails by it; a fall may be allowed, a broken rule never.
func (r row) wrong(mayFall bool) bool { return len(r.r.Broken) > 0 || r.fell() && !mayFall }

// move takes figures into the record: up freely, down only with a reason. What broke a rule is no figure.
func (b *book) move(rows []row, reason string, now time.Time) (moved []string) {
	day := now.Format(time.DateOnly)
	for _, r := range rows {
		h := b.Held[r.key]
		switch {
		case r.shown:
		case len(r.r.Broken) > 0:
			moved = append(moved, fmt.Sprintf("%s: not recorded, a rule or gate is broken", r.key))
		case h == nil:
			b.Held[r.key] = &held{Figure: r.r.Figure, Since: day}
			moved = append(moved, fmt.Sprintf("%s: %.3f, new", r.key, r.r.Figure))
		case r.r.Figure > h.Figure:
			moved = append(moved, fmt.Sprintf("%s: %.3f to %.3f", r.key, h.Figure, r.r.Figure))
			h.Figure, h.Since = r.r.Figure, day
		case r.r.Figure < h.Figure && strings.TrimSpace(reason) != "":
			moved = append(moved, fmt.Sprintf("%s: %.3f down to %.3f", r.key, h.Figure, r.r.Figure))
			h.Lowered = append(h.Lowered, lowered{h.Figure, r.r.Figure, day, strings.TrimSpace(reason)})
			h.Figure, h.Since = r.r.Figure, day
		}
	}
	return moved
}

// tabled is the outcome as a table that reads as text and as Markdown.
func tabled(rows []row) string {
	var s strings.Builder
	s.WriteString("| panel | figure (simulated) | record | gate | outcome | days |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		against, outcome, gate := "none", "held", r.r.Gate
		if gate == "" {
			gate = "-"
		}
		if r.known {
			against = fmt.Sprintf("%.3f", r.held)
		} else if outcome = "first"; r.shown {
			outcome = "kept"
		}
		switch {
		case len(r.r.Broken) > 0:
			outcome = "BROKEN: " + strings.ReplaceAll(strings.Join(r.r.Broken, "; "), "|", "/")
		case r.fell():
			outcome = fmt.Sprintf("FELL by %.3f", r.held-r.r.Figure)
		}
		fmt.Fprintf(&s, "| %s | %.3f | %s | %s | %s | %s |\n", r.key, r.r.Figure, against, gate, outcome, strings.Join(r.r.Days, ", "))
	}
	return s.String()
}

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

// figureRecord holds the figure that each panel and site has to keep. All figures are simulated.
type figureRecord struct {
	Figures map[string]*recordedFigure `toml:"held"`
}

// recordedFigure is one figure with the history of its reductions.
type recordedFigure struct {
	Figure    float64         `toml:"figure"`
	ReachedOn string          `toml:"since"` // date of the run that reached it
	Lowered   []loweredFigure `toml:"lowered,omitempty"`
}

// loweredFigure records why a figure was lowered.
type loweredFigure struct {
	From   float64 `toml:"from"`
	To     float64 `toml:"to"`
	Date   string  `toml:"on"`
	Reason string  `toml:"reason"`
}

// loadRecord reads the record. A missing file is an empty record, as before the first run with --record.
func loadRecord(path string) (*figureRecord, error) {
	record := &figureRecord{Figures: map[string]*recordedFigure{}}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return record, nil
	}
	if err != nil {
		return nil, err
	}
	var decodeErr *toml.DecodeError
	var unknownKeys *toml.StrictMissingError
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(record)
	switch {
	case errors.As(err, &unknownKeys):
		return nil, fmt.Errorf("%s: unknown key\n%s", path, unknownKeys.String())
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		return nil, fmt.Errorf("%s:%d: %w", path, line, err)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for key, figure := range record.Figures {
		if figure == nil || !(figure.Figure >= -1 && figure.Figure <= 1) {
			return nil, fmt.Errorf("%s: held.%s: not a figure from -1 to 1", path, key)
		}
	}
	return record, nil
}

// save writes the record by renaming a temporary file, so that it is never written in part.
func (record *figureRecord) save(path string) error {
	var text bytes.Buffer
	text.WriteString("# Figures of the operators' benches that no later version may fall under by more than 0.03. All are simulated. Written by tools/regress.\n\n")
	if err := toml.NewEncoder(&text).SetIndentTables(false).Encode(record); err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// row is one reading compared with the record.
type row struct {
	key         string
	reading     reading
	hasRecord   bool
	recorded    float64
	displayOnly bool // the figure is neither compared nor recorded
}

// compare returns a reading with the figure recorded under the key, if there is one.
func (record *figureRecord) compare(key string, r reading) row {
	recorded := record.Figures[key]
	if recorded == nil {
		return row{key: key, reading: r}
	}
	return row{key: key, reading: r, hasRecord: true, recorded: recorded.Figure}
}

// droppedTooFar reports whether the figure is more than maxFigureDrop below the record.
func (r row) droppedTooFar() bool {
	return r.hasRecord && r.reading.Figure < r.recorded-maxFigureDrop-1e-9
}

// fails reports whether the run fails because of the row. A drop may be allowed, a broken rule never.
func (r row) fails(dropAllowed bool) bool {
	return len(r.reading.Violations) > 0 || r.droppedTooFar() && !dropAllowed
}

// update raises figures of the record, lowers them only if there is a reason, and describes the changes. A reading that broke a rule is not
// recorded.
func (record *figureRecord) update(rows []row, reason string, now time.Time) (changes []string) {
	date := now.Format(time.DateOnly)
	for _, r := range rows {
		recorded := record.Figures[r.key]
		switch {
		case r.displayOnly:
		case len(r.reading.Violations) > 0:
			changes = append(changes, fmt.Sprintf("%s: not recorded, a rule or gate is broken", r.key))
		case recorded == nil:
			record.Figures[r.key] = &recordedFigure{Figure: r.reading.Figure, ReachedOn: date}
			changes = append(changes, fmt.Sprintf("%s: %.3f, new", r.key, r.reading.Figure))
		case r.reading.Figure > recorded.Figure:
			changes = append(changes, fmt.Sprintf("%s: %.3f to %.3f", r.key, recorded.Figure, r.reading.Figure))
			recorded.Figure, recorded.ReachedOn = r.reading.Figure, date
		case r.reading.Figure < recorded.Figure && strings.TrimSpace(reason) != "":
			changes = append(changes, fmt.Sprintf("%s: %.3f down to %.3f", r.key, recorded.Figure, r.reading.Figure))
			recorded.Lowered = append(recorded.Lowered, loweredFigure{recorded.Figure, r.reading.Figure, date, strings.TrimSpace(reason)})
			recorded.Figure, recorded.ReachedOn = r.reading.Figure, date
		}
	}
	return changes
}

// formatTable returns the outcome as a Markdown table that is also readable as text.
func formatTable(rows []row) string {
	var s strings.Builder
	s.WriteString("| panel | figure (simulated) | record | gate | outcome | days |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		recorded, outcome, gate := "none", "held", r.reading.Gate
		if gate == "" {
			gate = "-"
		}
		if r.hasRecord {
			recorded = fmt.Sprintf("%.3f", r.recorded)
		} else if outcome = "first"; r.displayOnly {
			outcome = "kept"
		}
		switch {
		case len(r.reading.Violations) > 0:
			outcome = "BROKEN: " + strings.ReplaceAll(strings.Join(r.reading.Violations, "; "), "|", "/")
		case r.droppedTooFar():
			outcome = fmt.Sprintf("FELL by %.3f", r.recorded-r.reading.Figure)
		}
		fmt.Fprintf(&s, "| %s | %.3f | %s | %s | %s | %s |\n", r.key, r.reading.Figure, recorded, gate, outcome, strings.Join(r.reading.DayScores, ", "))
	}
	return s.String()
}

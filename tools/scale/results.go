package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

// series is one cost by one size. Key is the measure's name with the unit, such as list-one/s.
type series struct {
	Key         string  `json:"key"`
	Description string  `json:"what"`
	SizeName    string  `json:"by"`
	FixedSizes  string  `json:"fixed"` // the other sizes, which don't vary
	Points      []point `json:"points"`
	Fit         fit     `json:"fit"`
}

// results holds one run of the measures.
type results struct {
	CreatedAt    string    `json:"made"` // UTC
	Go           string    `json:"go"`
	Arch         string    `json:"arch"`
	Procs        int       `json:"procs"` // GOMAXPROCS
	MaxSize      int       `json:"most"`  // largest size measured
	TimingMethod string    `json:"times"` // how times were measured
	Series       []*series `json:"series"`
	Missing      []string  `json:"missing,omitempty"` // what was not measured before the timeout
}

// findSeries returns the series with a key, or nil.
func (r *results) findSeries(key string) *series {
	if i := slices.IndexFunc(r.Series, func(s *series) bool { return s.Key == key }); i >= 0 {
		return r.Series[i]
	}
	return nil
}

const resultsFilePrefix = "slopes-" // begins the names of results files; the time of the run follows, so that they sort by it

// save writes the results as JSON, CSV and an SVG chart, and returns the path of the JSON file.
func (r *results) save(folder, stamp string) (string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	base := filepath.Join(folder, resultsFilePrefix+stamp)
	text, err := json.MarshalIndent(r, "", "\t")
	if err != nil {
		return "", err
	}
	f, err := os.Create(base + ".csv")
	if err != nil {
		return "", err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	w.Write([]string{"key", "by", "size", "value", "reps", "fitted"})
	for _, s := range r.Series {
		for _, p := range s.Points {
			w.Write([]string{s.Key, s.SizeName, strconv.Itoa(p.Size), fmt.Sprintf("%.6g", p.Value), strconv.Itoa(p.Repetitions),
				fmt.Sprintf("%.6g", s.Fit.valueAt(p.Size))})
		}
	}
	if w.Flush(); w.Error() != nil {
		return "", w.Error()
	}
	if err := r.drawChart(base + ".svg"); err != nil {
		return "", err
	}
	return base + ".json", writeAtomically(base+".json", append(text, '\n')) // written last, so that where it exists the other files do too
}

// writeAtomically writes a file by renaming a temporary one, so that readers never see a part of it.
func writeAtomically(path string, text []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// loadLatest reads the latest results saved in a folder.
func loadLatest(folder string) (r *results, path string, err error) {
	paths, err := filepath.Glob(filepath.Join(folder, resultsFilePrefix+"*.json"))
	if err != nil {
		return nil, "", err
	}
	if len(paths) == 0 {
		return nil, "", fmt.Errorf("no results in %s: run slopes first", folder)
	}
	path = slices.Max(paths)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	for _, s := range r.Series {
		if len(s.Points) == 0 {
			return nil, "", fmt.Errorf("%s: %s: no points", path, s.Key)
		}
	}
	return r, path, nil
}

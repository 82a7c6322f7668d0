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

// series is one cost by one size. Its key is its name with its unit, such as list-one/s.
type series struct {
	Key         string  `json:"key"`
	Description string  `json:"what"`
	SizeName    string  `json:"by"`
	FixedSizes  string  `json:"fixed"` // all other sizes
	Points      []point `json:"points"`
	Fit         fit     `json:"fit"`
}

// results are one run of all measures.
type results struct {
	CreatedAt    string    `json:"made"` // UTC
	Go           string    `json:"go"`
	Arch         string    `json:"arch"`
	Procs        int       `json:"procs"` // GOMAXPROCS
	MaxSize      int       `json:"most"`  // the largest size measured
	TimingMethod string    `json:"times"` // how times were taken
	Series       []*series `json:"series"`
	Missing      []string  `json:"missing,omitempty"` // what could not be measured in the time
}

func (r *results) findSeries(key string) *series {
	if i := slices.IndexFunc(r.Series, func(s *series) bool { return s.Key == key }); i >= 0 {
		return r.Series[i]
	}
	return nil
}

const resultsFilePrefix = "slopes-" // begins the names of files with results; the time of the run follows, so that they sort by it

// save writes the results as JSON and CSV and draws their chart, and names the JSON file.
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
	return base + ".json", writeAtomically(base+".json", append(text, '\n')) // last: where it is, all are
}

// writeAtomically writes a file whole or not at all.
func writeAtomically(path string, text []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// loadLatest reads the last results kept in a folder.
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

// Package reporter reads the journal of plays on the users' bench, and reports the worth of
// each day by round, its prices, and how the load of a daemon grows with the fleet.
package reporter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/joomcode/errorx"
)

// Journal is what the files of a journal hold.
type Journal struct {
	// Plays is sorted by time.
	Plays []Play `json:"plays"`
	// Skipped holds the files that are not entries of a journal.
	Skipped []SkippedFile `json:"skipped"`
}

// Play is one command of the bench, which plays one or more days.
type Play struct {
	ID      string    `json:"id"`
	Began   time.Time `json:"began"`
	Command string    `json:"command"`
	Site    string    `json:"site"`
	// Commit is the commit of the program, and IsDirty is set if it had other changes.
	Commit  string `json:"commit"`
	IsDirty bool   `json:"dirty"`
	// IsPart is set if the days were played only in part, or on fewer machines.
	IsPart bool       `json:"part"`
	Days   []Day      `json:"days"`
	Growth []Quantity `json:"growth,omitempty"`
}

// Day is one day that was played.
type Day struct {
	Name string `json:"name"`
	// Machines is the number of daemons.
	Machines int `json:"machines"`
	// Worth is what the day earned less its prices, Best the most that the bench holds to
	// be possible, and Served the share of the requests that were served; 1 is all.
	Worth  float64 `json:"worth"`
	Best   float64 `json:"best"`
	Served float64 `json:"served"`
	// Prices is sorted, highest first. Prices of 0 are left out.
	Prices []Price `json:"prices"`
	// Broken holds the number of breaches of each rule that was broken.
	Broken map[string]int `json:"broken"`
}

// Price is what one kind of cost took from the worth of a day.
type Price struct {
	Name  string  `json:"name"`
	Worth float64 `json:"worth"`
}

// SkippedFile is a file of the journal's folder that could not be read as an entry.
type SkippedFile struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// entry is a file of the journal, as the bench writes it.
type entry struct {
	Version int    `json:"v"`
	ID      string `json:"id"`
	// At holds the begin and the end; the end is "" for plays that were broken off.
	At      []string   `json:"at"`
	Command string     `json:"cmd"`
	Args    []string   `json:"argv"`
	Site    string     `json:"site"`
	Head    string     `json:"head"`
	Dirty   bool       `json:"dirty"`
	Digest  string     `json:"digest"`
	Days    []entryDay `json:"days"`
}

// entryDay is a day of an entry.
type entryDay struct {
	Worth    float64         `json:"G"`
	Name     string          `json:"name"`
	Machines int             `json:"balancers"`
	Top      float64         `json:"top"`
	Served   float64         `json:"served"`
	Rules    map[string]int  `json:"rules"`
	Prices   [][]priceColumn `json:"prices"`
}

// priceColumn is a column of a price: its name, its amount or its worth.
type priceColumn struct {
	text   string
	number float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *priceColumn) UnmarshalJSON(b []byte) error {
	if json.Unmarshal(b, &p.text) == nil {
		return nil
	}
	return json.Unmarshal(b, &p.number)
}

// entryVersion is the version of the entries that Read understands.
const entryVersion = 1

// Read reads the journal in a folder. It fails if the folder can't be read; files in it that
// are not entries are skipped.
func Read(dir string) (*Journal, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, errorx.Decorate(err, "reading the journal %s", dir)
	}
	j := new(Journal)
	for _, f := range files {
		path := filepath.Join(dir, f.Name())
		if f.IsDir() || filepath.Ext(path) != ".json" {
			continue
		}
		play, reason := readPlay(path)
		if reason != "" {
			j.Skipped = append(j.Skipped, SkippedFile{Path: path, Reason: reason})
			continue
		}
		j.Plays = append(j.Plays, *play)
	}
	slices.SortStableFunc(j.Plays, func(a, b Play) int { return a.Began.Compare(b.Began) })
	return j, nil
}

// readPlay reads one file. It returns the reason if the file is no entry of a journal.
func readPlay(path string) (play *Play, reason string) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err.Error()
	}
	var e entry
	switch err := json.Unmarshal(b, &e); {
	case err != nil:
		return nil, err.Error()
	case e.Version != entryVersion || e.ID == "" || e.Command == "" || len(e.At) == 0:
		return nil, "not an entry of a journal of version 1"
	}
	began, err := time.Parse(time.RFC3339, e.At[0])
	if err != nil {
		return nil, err.Error()
	}
	play = &Play{
		ID: e.ID, Began: began, Command: e.Command, Site: e.Site, Commit: e.Head, IsDirty: e.Dirty,
		IsPart: slices.ContainsFunc(e.Args, func(a string) bool { return a == "--until" || a == "--small" }),
	}
	for _, d := range e.Days {
		play.Days = append(play.Days, newDay(d))
	}
	if e.Command == "sweep" {
		play.Growth = parseGrowth(e.Digest)
	}
	return play, ""
}

// newDay returns the day of an entry.
func newDay(d entryDay) Day {
	day := Day{Name: d.Name, Machines: d.Machines, Worth: d.Worth, Best: d.Top, Served: d.Served, Broken: d.Rules}
	for _, columns := range d.Prices {
		if len(columns) == 3 && columns[2].number > 0 {
			day.Prices = append(day.Prices, Price{Name: columns[0].text, Worth: columns[2].number})
		}
	}
	slices.SortStableFunc(day.Prices, func(a, b Price) int { return cmp.Compare(b.Worth, a.Worth) })
	return day
}

// Round is one play of a day.
type Round struct {
	Play *Play
	Day  *Day
}

// Series holds all plays of a day of a site, in the order of time.
type Series struct {
	Site, Name string
	Rounds     []Round
}

// standardPrefixes begin the names of the days that come with a site. The same name is the same
// day in each play.
var standardPrefixes = []string{"quiet-", "trouble-", "scale-"}

// Series returns the plays of the standard days that were played whole, sorted by site and
// name. Days with seeds of their own, as hunts draw them, are left out.
func (j *Journal) Series() []Series {
	var all []Series
	for i := range j.Plays {
		play := &j.Plays[i]
		if play.IsPart || play.Command != "run" && play.Command != "score" {
			continue
		}
		for k := range play.Days {
			day := &play.Days[k]
			isStandard := slices.ContainsFunc(standardPrefixes, func(p string) bool { return strings.HasPrefix(day.Name, p) })
			if !isStandard || strings.Contains(day.Name, " ") {
				continue
			}
			at := slices.IndexFunc(all, func(s Series) bool { return s.Site == play.Site && s.Name == day.Name })
			if at < 0 {
				at = len(all)
				all = append(all, Series{Site: play.Site, Name: day.Name})
			}
			all[at].Rounds = append(all[at].Rounds, Round{Play: play, Day: day})
		}
	}
	slices.SortFunc(all, func(a, b Series) int { return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Name, b.Name)) })
	return all
}

// WriteTable writes the series, the newest sweep of each site and the skipped files as text.
func (j *Journal) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SITE\tDAY\tMACHINES\tROUNDS\tWORTH, FIRST\tHIGHEST\tNEWEST\tBEST POSSIBLE\tSERVED\tCOMMIT\tLARGEST PRICE\tBROKEN")
	for _, s := range j.Series() {
		first, newest := s.Rounds[0].Day, s.Rounds[len(s.Rounds)-1]
		highest := slices.MaxFunc(s.Rounds, func(a, b Round) int { return cmp.Compare(a.Day.Worth, b.Day.Worth) }).Day
		largest := "none"
		if d := newest.Day; len(d.Prices) > 0 {
			largest = fmt.Sprintf("%s %.3f", d.Prices[0].Name, d.Prices[0].Worth)
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\t%s\n", s.Site, s.Name, newest.Day.Machines, len(s.Rounds),
			first.Worth, highest.Worth, newest.Day.Worth, newest.Day.Best, newest.Day.Served, newest.Play.commit(), largest, newest.Day.broken())
	}
	for _, sweep := range j.newestSweeps() {
		fmt.Fprintf(tw, "\nSWEEP OF %s\tPOWER\tBUSIEST\n", sweep.Site)
		for _, q := range sweep.Growth {
			fmt.Fprintf(tw, "%s\t%.2f", q.Name, q.Power())
			for i, machines := range q.Machines {
				fmt.Fprintf(tw, "\t%g at %g", q.Busiest[i], machines)
			}
			fmt.Fprintln(tw)
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, f := range j.Skipped {
		if _, err := fmt.Fprintf(w, "skipped %s: %s\n", f.Path, f.Reason); err != nil {
			return err
		}
	}
	return nil
}

// shortCommit is the length of an abbreviated commit.
const shortCommit = 7

// commit returns the abbreviated commit of the program, with "+" if it had other changes.
func (p *Play) commit() string {
	short := p.Commit[:min(len(p.Commit), shortCommit)]
	if p.IsDirty {
		short += "+"
	}
	return short
}

// broken returns the rules that were broken on the day.
func (d *Day) broken() string {
	var rules []string
	for _, rule := range slices.Sorted(maps.Keys(d.Broken)) {
		rules = append(rules, fmt.Sprintf("%s %d", rule, d.Broken[rule]))
	}
	return cmp.Or(strings.Join(rules, ", "), "none")
}

package lab

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Pattern is a load over time, and what happens to engines meanwhile.
type Pattern struct {
	Name string
	// Level is the load in parts of the setup's rate.
	Level float64
	// Swing is the part by which the load rises and falls, Period in what time.
	Swing  float64
	Period time.Duration
	// Burst is a time in which the load is Factor times as high, of one kind where BurstKind
	// names it.
	Burst        Span
	Factor       float64
	BurstKind    string
	Disturbances []Disturbance
	Version      *Version
	Limits       *Limits
}

// Span is a time, from its begin to its end.
type Span struct{ From, To time.Duration }

func (s Span) holds(at time.Duration) bool { return at >= s.From && at < s.To }

// Disturbance is a loss of engines.
type Disturbance struct {
	At, For time.Duration
	// Share is the part of the engines that is lost.
	Share float64
}

func (d Disturbance) strikes(number, engines int) bool {
	return float64(number) < d.Share*float64(engines)
}

// Version is a version that engines take one after the other, within a time.
type Version struct{ Turns Span }

func (v Version) turnOf(number, engines int) time.Duration {
	return v.Turns.From + (v.Turns.To-v.Turns.From)*time.Duration(number)/time.Duration(max(engines-1, 1))
}

// Limits is that engines are in need for a time, and name the requests a second that they take.
type Limits struct {
	Span
	// Share is the part of the engines that do.
	Share     float64
	PerSecond float64
}

func (l *Limits) names(number, engines int, at time.Duration) bool {
	return l != nil && l.holds(at) && float64(number) < l.Share*float64(engines)
}

// rate is the load at a time.
func (p Pattern) rate(at time.Duration) float64 {
	rate := p.Level
	if p.Period > 0 {
		rate *= 1 + p.Swing*math.Sin(2*math.Pi*at.Seconds()/p.Period.Seconds())
	}
	if p.Burst.holds(at) && p.BurstKind == "" {
		rate *= p.Factor
	}
	if p.Burst.holds(at) && p.BurstKind != "" {
		rate *= 1 + (p.Factor-1)*burstShare
	}
	return rate
}

// burstShare is the part of the load that the kind of a burst has before it.
const burstShare = 0.335

// kindAt draws the kind of a caller.
func (p Pattern) kindAt(at time.Duration, kinds []Kind, drawn float64) int {
	weight := func(k Kind) float64 {
		if p.Burst.holds(at) && k.Name == p.BurstKind {
			return k.Share * p.Factor
		}
		return k.Share
	}
	sum := 0.0
	for _, kind := range kinds {
		sum += weight(kind)
	}
	drawn *= sum
	for i, kind := range kinds {
		if drawn -= weight(kind); drawn < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

// PatternNames lists what ParsePattern knows.
func PatternNames() []string {
	return []string{"steady", "burst", "swing", "one-kind", "half-gone", "all-back", "version", "some-limited", "all-limited"}
}

// ParsePattern reads a pattern and its level, such as "steady:1.25"; without one it is 1.
func ParsePattern(text string) (Pattern, error) {
	name, level, named := strings.Cut(text, ":")
	p := Pattern{Name: text, Level: 1}
	if named {
		value, err := strconv.ParseFloat(level, 64)
		if err != nil || !(value > 0 && value <= mostLevel) {
			return p, fmt.Errorf("pattern %q: the level %q is not a number above 0 and up to %d", text, level, mostLevel)
		}
		p.Level = value
	}
	const second = time.Second
	switch name {
	case "steady":
	case "burst":
		p.Burst, p.Factor = Span{8 * second, 12 * second}, 1.7
	case "swing":
		p.Swing, p.Period = 0.3, 8*second
	case "one-kind":
		p.Burst, p.Factor, p.BurstKind = Span{8 * second, 16 * second}, 4, "long"
	case "half-gone":
		p.Disturbances = []Disturbance{{At: 10 * second, For: 6 * second, Share: 0.5}}
	case "all-back":
		p.Disturbances = []Disturbance{{At: 10 * second, For: 2 * second, Share: 1}}
	case "version":
		p.Version = &Version{Turns: Span{10 * second, 15500 * time.Millisecond}}
	case "some-limited":
		p.Limits = &Limits{Span: Span{10 * second, 20 * second}, Share: 1.0 / 3, PerSecond: 2}
	case "all-limited":
		p.Limits = &Limits{Span: Span{10 * second, 20 * second}, Share: 1, PerSecond: 5}
	default:
		return p, fmt.Errorf("pattern %q: use one of %s", text, strings.Join(PatternNames(), ", "))
	}
	return p, nil
}

// mostLevel bounds a level: beyond it callers come faster than events can be played.
const mostLevel = 10

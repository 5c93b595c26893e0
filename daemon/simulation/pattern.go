package simulation

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Pattern describes the load over time and the faults injected into engines.
type Pattern struct {
	Name string
	// Level is the load relative to the setup's rate.
	Level float64
	// Amplitude is that of a sinusoidal variation relative to Level, Period its period.
	Amplitude float64
	Period    time.Duration
	// Burst is a period of increased load. BurstFactor multiplies the load of the kind of
	// callers named by BurstKind, or of all kinds if that is empty.
	Burst       Interval
	BurstFactor float64
	BurstKind   string
	Outages     []Outage
	Rollout     *Rollout
	Limits      *Limits
	Pauses      *Pauses
}

// Interval is a half-open interval of time.
type Interval struct{ From, To time.Duration }

func (i Interval) contains(at time.Duration) bool { return at >= i.From && at < i.To }

// Outage is a temporary failure of several engines.
type Outage struct {
	At, Duration time.Duration
	// Share is the fraction of the engines that fail.
	Share float64
}

func (o Outage) affects(index, engines int) bool {
	return float64(index) < o.Share*float64(engines)
}

// Rollout schedules the load of a new version, one engine after the other.
type Rollout struct{ Schedule Interval }

func (r Rollout) loadTimeOf(index, engines int) time.Duration {
	return r.Schedule.From + (r.Schedule.To-r.Schedule.From)*time.Duration(index)/time.Duration(max(engines-1, 1))
}

// Limits describes a period in which some engines announce a request rate limit.
type Limits struct {
	Interval
	// Share is the fraction of the engines that are limited.
	Share     float64
	PerSecond float64
}

func (l *Limits) active(index, engines int, at time.Duration) bool {
	return l != nil && l.contains(at) && float64(index) < l.Share*float64(engines)
}

// Pauses describes a period in which some engines refuse each request and ask its router for a pause.
type Pauses struct {
	Interval
	// Share is the fraction of the engines that refuse, and RetryAfter the pause.
	Share      float64
	RetryAfter time.Duration
}

func (p *Pauses) active(index, engines int, at time.Duration) bool {
	return p != nil && p.contains(at) && float64(index) < p.Share*float64(engines)
}

// rate returns the load at a time, relative to the setup's rate.
func (p Pattern) rate(at time.Duration) float64 {
	rate := p.Level
	if p.Period > 0 {
		rate *= 1 + p.Amplitude*math.Sin(2*math.Pi*at.Seconds()/p.Period.Seconds())
	}
	if p.Burst.contains(at) && p.BurstKind == "" {
		rate *= p.BurstFactor
	}
	if p.Burst.contains(at) && p.BurstKind != "" {
		rate *= 1 + (p.BurstFactor-1)*burstShare
	}
	return rate
}

// burstShare is the load share of the kind that a single-kind burst multiplies.
const burstShare = 0.335

// kindAt selects the kind of a caller that arrives at a time, by a uniform variate.
func (p Pattern) kindAt(at time.Duration, kinds []Kind, variate float64) int {
	weight := func(k Kind) float64 {
		if p.Burst.contains(at) && k.Name == p.BurstKind {
			return k.Share * p.BurstFactor
		}
		return k.Share
	}
	sum := 0.0
	for _, kind := range kinds {
		sum += weight(kind)
	}
	variate *= sum
	for i, kind := range kinds {
		if variate -= weight(kind); variate < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

// PatternNames returns the names that ParsePattern accepts.
func PatternNames() []string {
	return []string{"steady", "burst", "swing", "one-kind", "half-gone", "all-back", "version", "some-limited", "all-limited", "some-pausing"}
}

// ParsePattern parses a pattern name with an optional level, such as "steady:1.25". The default
// level is 1.
func ParsePattern(text string) (Pattern, error) {
	name, level, named := strings.Cut(text, ":")
	p := Pattern{Name: text, Level: 1}
	if named {
		value, err := strconv.ParseFloat(level, 64)
		if err != nil || !(value > 0 && value <= maxLevel) {
			return p, fmt.Errorf("pattern %q: level %q is not a number above 0 and at most %d", text, level, maxLevel)
		}
		p.Level = value
	}
	const second = time.Second
	switch name {
	case "steady":
	case "burst":
		p.Burst, p.BurstFactor = Interval{8 * second, 12 * second}, 1.7
	case "swing":
		p.Amplitude, p.Period = 0.3, 8*second
	case "one-kind":
		p.Burst, p.BurstFactor, p.BurstKind = Interval{8 * second, 16 * second}, 4, "long"
	case "half-gone":
		p.Outages = []Outage{{At: 10 * second, Duration: 6 * second, Share: 0.5}}
	case "all-back":
		p.Outages = []Outage{{At: 10 * second, Duration: 2 * second, Share: 1}}
	case "version":
		p.Rollout = &Rollout{Schedule: Interval{10 * second, 15500 * time.Millisecond}}
	case "some-limited":
		p.Limits = &Limits{Interval: Interval{10 * second, 20 * second}, Share: 1.0 / 3, PerSecond: 2}
	case "all-limited":
		p.Limits = &Limits{Interval: Interval{10 * second, 20 * second}, Share: 1, PerSecond: 5}
	case "some-pausing":
		p.Pauses = &Pauses{Interval: Interval{10 * second, 20 * second}, Share: 1.0 / 3, RetryAfter: 3 * second}
	default:
		return p, fmt.Errorf("unknown pattern %q; use one of %s", text, strings.Join(PatternNames(), ", "))
	}
	return p, nil
}

// maxLevel limits the load so that a run ends in reasonable time.
const maxLevel = 10

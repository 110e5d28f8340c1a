package enginememory

import (
	"math"
	"time"
)

// rateWindow is the time constant of rates. Rates of a service are summed over tens of instances,
// so a window with one or two requests of each is long enough.
const rateWindow = 2 * time.Second

// rate is a rate per second in which the weight of a quantity decays exponentially.
type rate struct {
	sum float64
	at  time.Time // time of sum
}

// add adds a quantity at time now.
func (r *rate) add(quantity float64, now time.Time) {
	r.sum = r.decayed(now) + quantity
	r.at = now
}

// perSecond returns the rate at time now.
func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }

func (r *rate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateWindow.Seconds())
}

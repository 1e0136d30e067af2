package scheduler

import "math"

// PCG is a permuted congruential generator (XSH-RR, 64 bits of state, 32 bits of output).
type PCG struct{ state uint64 }

// NewPCG returns a generator with the given seed.
func NewPCG(seed uint64) *PCG {
	p := &PCG{state: seed + 1442695040888963407}
	p.next()
	return p
}

// next returns 32 random bits.
func (p *PCG) next() uint32 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	x, r := uint32((old>>18^old)>>27), uint32(old>>59)
	return x>>r | x<<(-r&31)
}

// Float returns a number in (0, 1).
func (p *PCG) Float() float64 { return (float64(p.next()) + 0.5) / (1 << 32) }

// Normal returns a standard normal draw.
func (p *PCG) Normal() float64 {
	return math.Sqrt(-2*math.Log(p.Float())) * math.Cos(2*math.Pi*p.Float())
}

// Gamma returns a draw from a gamma distribution of shape at least 1 (Marsaglia and Tsang).
func (p *PCG) Gamma(shape float64) float64 {
	d := shape - 1.0/3
	c := 1 / math.Sqrt(9*d)
	for {
		x := p.Normal()
		v := math.Pow(1+c*x, 3)
		if v > 0 && math.Log(p.Float()) < x*x/2+d-d*v+d*math.Log(v) {
			return d * v
		}
	}
}

// Beta returns a draw from a beta distribution with both parameters at least 1.
func (p *PCG) Beta(a, b float64) float64 {
	x := p.Gamma(a)
	return x / (x + p.Gamma(b))
}

// Mix hashes two keys to 64 bits.
func Mix(a, b uint64) uint64 {
	h := (a ^ b*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>29
}

package budget

// Burst is the default number of tokens that a budget holds at most. It lets a group retry the requests of one failed
// upstream at once and is small compared with a second of offered load.
const Burst = 20

// Budget counts tokens for retries: each offered request adds the ratio, each retry takes one.
type Budget struct {
	ratio, burst, tokens float64
}

// New returns an empty budget with the ratio of retries to offered requests, limited to 0 to 0.2.
func New(ratio float64) *Budget {
	b := &Budget{burst: Burst}
	b.SetRatio(ratio)
	return b
}

// SetBurst changes the largest number of tokens that the budget holds.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// SetRatio changes the ratio and keeps the tokens.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = min(max(ratio, 0), 0.2)
}

// Earn counts a request that is not a retry.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Tokens returns the number of retries that the budget covers at present.
func (b *Budget) Tokens() float64 {
	return b.tokens
}

// Spend takes one token for a retry and reports whether the budget covered it.
func (b *Budget) Spend() bool {
	// Rounding makes sums of ratios such as 0.2 slightly smaller than whole tokens.
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

"""Checks recorded admissions against the bound of a rate and a burst.

The checks use only the times and tokens of the admissions, not the limiter's state.
"""


def worst_excess(admissions, rate, burst):
    """Return by how much any window exceeds its bound; at most 0 when none does.

    `admissions` are (time, tokens) pairs, time in ms and `rate` in tokens per ms.
    The bound on a window of t ms is `burst + rate * t`. The excess of the worst window
    that ends at an admission follows from that of the previous admission.
    """
    worst, in_window, last = -burst, 0.0, None
    for time, tokens in sorted(admissions):
        if last is not None:
            in_window = max(0.0, in_window - rate * (time - last))
        in_window += tokens
        last = time
        worst = max(worst, in_window - burst)
    return worst


def worst_excess_by_all_windows(admissions, rate, burst):
    """Return the same result by checking every window, to verify `worst_excess`."""
    worst = -burst
    for start, _ in admissions:
        for end, _ in admissions:
            tokens = sum(amount for time, amount in admissions if start <= time <= end)
            if start <= end:
                worst = max(worst, tokens - burst - rate * (end - start))
    return worst

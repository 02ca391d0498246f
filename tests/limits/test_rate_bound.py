from hypothesis import given, settings, strategies as st

from tests.limits.rate_bound import worst_excess, worst_excess_by_all_windows

ADMISSIONS = st.lists(
    st.tuples(st.integers(0, 300), st.integers(1, 100)), min_size=1, max_size=12
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(ADMISSIONS)
def test_worst_excess_agrees_with_all_windows(admissions):
    excess = worst_excess(admissions, 0.5, 60)
    assert abs(excess - worst_excess_by_all_windows(admissions, 0.5, 60)) < 1e-6

from mulberryhub.limits.account import Account


def full_account(rate=1.0, burst=1_000.0):
    account = Account("w", 0, 0)
    account.resize(rate, burst, 1.0, 0)
    account.local_share.advance(10_000)
    return account


def test_debt_is_paid_before_the_next_request():
    account = full_account()
    now = 10_000
    assert account.take(100, now) is not None
    account.add_debt(600)
    assert account.take(400, now) is None
    assert account.available(now) < 301
    assert account.take(250, now) is not None
    assert account.debt == 0


def test_debt_above_the_burst_is_paid_as_the_bucket_refills():
    account = full_account()
    now = 10_000
    account.add_debt(2_500)
    assert account.take(1, now) is None
    assert 1_499 <= account.debt <= 1_501
    now += 1_000
    assert account.take(1, now) is None
    now += 1_000
    assert account.take(400, now) is not None

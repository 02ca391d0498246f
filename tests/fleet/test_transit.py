from mulberryhub.fleet.transit import TransitDelay


def test_message_that_waited_is_late_by_what_it_took_beyond_the_fastest():
    delay = TransitDelay()
    assert delay.measure(1_000, 50_010) == 0
    assert delay.measure(1_100, 50_910) == 800
    assert delay.measure(1_200, 50_205) == 0
    assert delay.measure(1_300, 50_910) == 605


def test_message_without_a_time_is_not_late():
    assert TransitDelay().measure(None, 50_000) == 0

from mulberryhub.base.logs import error_text


def test_error_without_a_text_is_named_in_the_log():
    assert error_text(TimeoutError()) == "TimeoutError"
    assert error_text(OSError(104, "reset")) == "[Errno 104] reset"

import pytest

from tests.support.processes import Fleet


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        yield fleet

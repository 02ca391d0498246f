import pytest

from mulberryhub.weights import manager as manager_module


@pytest.fixture(autouse=True)
def run_loads_synchronously(monkeypatch):
    """Run loads synchronously in the calling test, without sleeping."""
    monkeypatch.setattr(
        manager_module, "spawn_task", lambda function, item: function(item)
    )
    monkeypatch.setattr(manager_module, "sleep", lambda seconds: None)

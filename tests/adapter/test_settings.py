import pytest

from mulberryhub.adapter.settings import read_settings

SETTINGS = """
nodeName = "r1"
ip = "127.0.0.1"
zone = "a"
portRange = [7600, 7615]
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
control = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
"""


@pytest.mark.parametrize("port, metrics_port", [(0, 7600), (9464, 9464)])
def test_metrics_port_defaults_to_first_of_range(tmp_path, port, metrics_port):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    assert read_settings(path, port).metrics_address == f"127.0.0.1:{metrics_port}"


@pytest.mark.parametrize(("limits", "mbps"), [("", 1_000), ("linkMbps = 5", 5)])
def test_speed_of_the_link_is_read(tmp_path, limits, mbps):
    """Guards against transfers whose cost does not depend on the VM's link."""
    path = tmp_path / "node.toml"
    path.write_text(f"{SETTINGS}[limits]\n{limits}\n")
    assert read_settings(path).link_mbps == mbps

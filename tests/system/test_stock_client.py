"""The unmodified OpenAI client library works against a router."""

import openai
import pytest

from benchmarks.demo import apply_inventory, wait_until_ready
from benchmarks.topology import CALLER_KEYS_BY_WORKSPACE, MODEL, LocalFleet

MESSAGES = [{"role": "user", "content": "Which seal fits the north entrance?"}]


@pytest.fixture(scope="module")
def local_fleet():
    with LocalFleet(routers=1, services=False) as local_fleet:
        routers = list(local_fleet.routers_by_id.values())
        apply_inventory(routers[0], local_fleet.inventory())
        wait_until_ready(routers)
        yield local_fleet


@pytest.fixture
def client(local_fleet):
    return make_client(local_fleet, CALLER_KEYS_BY_WORKSPACE["hotels"])


def make_client(local_fleet, key):
    router = local_fleet.routers_by_id["vm-1"]
    return openai.OpenAI(api_key=key, base_url=router.url("/v1"), max_retries=0)


def test_streamed_and_non_streamed_chats_agree(client):
    completion = client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=8
    )
    stream = client.chat.completions.create(
        model=MODEL,
        messages=MESSAGES,
        max_tokens=8,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    text = "".join(
        choice.delta.content or "" for chunk in chunks for choice in chunk.choices
    )
    assert completion.choices[0].message.content == text
    assert completion.usage.completion_tokens == 8
    assert chunks[-1].usage.completion_tokens == 8


def test_plain_completions(client):
    completion = client.completions.create(model=MODEL, prompt="a seal", max_tokens=4)
    stream = client.completions.create(
        model=MODEL, prompt="a seal", max_tokens=4, stream=True
    )
    text = "".join(choice.text for chunk in stream for choice in chunk.choices)
    assert completion.choices[0].text == text


def test_models(client):
    assert [model.id for model in client.models.list()] == [MODEL]


def test_errors_raise_the_exceptions_of_the_client_library(local_fleet, client):
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model="other", messages=MESSAGES)
    assert caught.value.code == "unknown_model"
    with pytest.raises(openai.AuthenticationError) as caught:
        make_client(local_fleet, "other").models.list()
    assert caught.value.code == "unknown_key"
    with pytest.raises(openai.BadRequestError) as caught:
        client.chat.completions.create(model=MODEL, messages=[])
    assert caught.value.code == "bad_request"

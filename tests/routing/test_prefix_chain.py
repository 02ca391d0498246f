from hypothesis import given, settings, strategies as st

from mulberryhub.routing.prefix_chain import chat_request, prefix_chain, text_request
from mulberryhub.routing.request import Scope

SCOPE = Scope("prasertkit", "small", "1")
DOCUMENT = "part " * 4_500


def chat(*texts, scope=SCOPE, roles=("system", "user", "assistant", "user")):
    return chat_request(scope, list(zip(roles, texts)))


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.text(max_size=5), max_size=5), st.lists(st.text(max_size=5), max_size=5)
)
def test_digests_are_equal_exactly_where_all_blocks_so_far_are(first, second):
    chains = prefix_chain(SCOPE, first), prefix_chain(SCOPE, second)
    for index, (digest, other_digest) in enumerate(zip(*chains)):
        assert (digest == other_digest) == (first[: index + 1] == second[: index + 1])


def test_scopes_have_different_digests():
    scopes = [
        SCOPE,
        Scope("kowhai", "small", "1"),
        Scope("prasertkit", "large", "1"),
        Scope("prasertkit", "small", "2"),
        Scope("prasertkit", "small", "1", "tuned"),
    ]
    digests = [prefix_chain(scope, ["text"])[0] for scope in scopes]
    assert len(set(digests)) == len(scopes)


def test_questions_about_one_document_have_the_same_placement():
    first = chat("rules " * 3_000, DOCUMENT + "which pivot?")
    second = chat("rules " * 3_000, DOCUMENT + "which seal?")
    assert first.placement_digest() == second.placement_digest()
    assert first.chain[-1] != second.chain[-1]


def test_turns_of_a_conversation_have_the_same_placement():
    first = chat("rules", DOCUMENT)
    later = chat("rules", DOCUMENT, "that one", "and then?")
    assert first.placement_digest() == later.placement_digest()


def test_documents_under_one_system_prompt_have_different_placements():
    assert chat("rules", DOCUMENT).placement_digest() != (
        chat("rules", "seal " * 4_500).placement_digest()
    )


def test_short_question_is_placed_by_its_system_prompt():
    first, second = chat("rules", "pivot?"), chat("rules", "seal?")
    assert first.placement_digest() == second.placement_digest()
    assert first.tokens == 4


def test_text_prompts_share_full_blocks():
    first, second = text_request(SCOPE, DOCUMENT + "a"), text_request(SCOPE, DOCUMENT)
    assert first.shared_prefix_blocks == [0, 1]
    assert first.placement_digest() == second.placement_digest()


def test_empty_prompt_has_one_block():
    assert len(chat_request(SCOPE, []).chain) == 1

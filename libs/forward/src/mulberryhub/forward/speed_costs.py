"""What the speeds of upstreams change in the selection, beside the expected delay.

Speeds are given as slowness by id: the time that an upstream needs, divided by the
usual time. Upstreams of the usual speed are not listed.
"""

from mulberryhub.base.digest import rendezvous_score
from mulberryhub.forward.work import prefill_time

USUAL_SLOWNESS = 1
# Of which slow upstreams are left out for a part of the prompts. Enough remain if they
# are as slow as `slowness` can tell.
CANDIDATES_PER_HOME = 4
HOME_SALT = b"home:"  # makes scores independent of those of the placement
MAX_SCORE = 2**64


def no_cost(upstream):
    """Return the additional cost in ms at an upstream of the usual speed."""
    return 0


def no_processing_cost(call, service):
    """Return the function that returns the cost of a call if all are equally fast."""
    return no_cost


def rank_by_placement(placement, digest, count, service):
    """Return the `count` best candidates for `digest` if all are equally fast."""
    return placement.rank(digest, count)


def processing_cost(call, service, slowness_by_id):
    """Return the function that returns the cost in ms of `call` at an upstream.

    It is the time for which its prompt is processed longer than at usual speed, so that
    a slow idle upstream is not preferred to a fast idle one.
    """
    if not (slowness_by_id and service.models and call.prompt_tokens):
        return no_cost
    time = prefill_time(call)

    def cost(upstream):
        return time * (slowness_by_id.get(upstream.id, USUAL_SLOWNESS) - 1)

    return cost


def rank_by_speed(placement, digest, count, slowness_by_id, fastest):
    """Return the `count` best candidates for `digest`.

    An upstream is left out for a part of the digests, so that it is the home of as many
    prompts as it is fast. Otherwise prompts would wait at a slow upstream until the
    delay there is worth a cache miss elsewhere. `fastest` is the slowness of the
    fastest upstream.
    """

    def is_left_out(candidate):
        share = fastest / slowness_by_id.get(candidate.id, USUAL_SLOWNESS)
        score = rendezvous_score(HOME_SALT + digest, candidate.id.encode())
        return score >= share * MAX_SCORE

    order = placement.rank(digest, count * CANDIDATES_PER_HOME)
    order.sort(key=is_left_out)
    return order[:count]

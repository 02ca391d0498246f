"""How a router reads each topic of the platform's store."""

from mulberryhub.fleet.follower import TopicPlan
from mulberryhub.fleet.state import Topic

OPERATOR_WAIT = 700  # ms that a read of the operator's records waits at the store
MEMBERS_WAIT = 3_000  # ms
UPSTREAMS_PAUSE = 700  # ms between reads, as upstreams write all the time


def topic_plans(ports, fleet_state, removals):
    """Return the TopicPlans; what is read goes to `fleet_state` and `removals`."""

    def apply_with(read):
        def apply(entry):
            record = read(entry)
            if record is not None:
                fleet_state.apply(record)

        return apply

    learn_upstream = apply_with(ports.read_upstream)

    def apply_upstream(entry):
        if entry.value is None:
            removals.remove(entry.key, entry.offset)
        else:
            learn_upstream(entry)

    def remove_unlisted(listing):
        removals.remove_unlisted([entry.key for entry in listing.entries], listing.end)

    return [
        TopicPlan(
            Topic.OPERATOR, apply_with(ports.read_operator), wait=OPERATOR_WAIT, pause=0
        ),
        TopicPlan(
            Topic.UPSTREAMS,
            apply_upstream,
            wait=0,
            pause=UPSTREAMS_PAUSE,
            on_listing=remove_unlisted,
            on_answer=removals.record_answer,
            on_failure=removals.record_failure,
            is_fully_applied=removals.is_fully_applied,
        ),
        TopicPlan(
            Topic.MEMBERS, apply_with(ports.read_member), wait=MEMBERS_WAIT, pause=0
        ),
    ]
